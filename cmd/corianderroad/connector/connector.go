// Package connector holds the code that the subcommands for commands and queries
// share: the flags for nodes and token, the output, and the exit codes.
package connector

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"corianderroad/classifier"
	"corianderroad/requester"
)

// Connector holds the flags of a subcommand that connects to a node.
type Connector struct {
	nodes     string
	tokenFile string
	output    string
	limit     time.Duration
}

// Register declares the flags.
func (connector *Connector) Register(flags *flag.FlagSet) {
	flags.StringVar(&connector.nodes, "node", "127.0.0.1:18101", "HTTP addresses of nodes, IP:port, separated by commas; if one is unreachable, the next is tried")
	flags.StringVar(&connector.tokenFile, "token-file", "", "file that contains the token; by default the environment variable CORIANDERROAD_TOKEN is used")
	flags.StringVar(&connector.output, "output", "text", "output format, text or json")
	flags.DurationVar(&connector.limit, "limit", 30*time.Second, "maximum wait for an answer")
}

// Connect returns a Requester for the flags. The error has code BadRequest.
func (connector *Connector) Connect() (*requester.Requester, error) {
	if connector.output != "text" && connector.output != "json" {
		return nil, classifier.New(classifier.BadRequest, "-output is %q, must be text or json", connector.output)
	}
	var nodes []netip.AddrPort
	for _, text := range strings.Split(connector.nodes, ",") {
		node, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, classifier.New(classifier.BadRequest, "-node %q is not an IP:port", text)
		}
		nodes = append(nodes, node)
	}
	token, err := connector.token()
	if err != nil {
		return nil, err
	}
	return requester.New(nodes, token, connector.limit), nil
}

func (connector *Connector) token() (string, error) {
	if connector.tokenFile == "" {
		return os.Getenv("CORIANDERROAD_TOKEN"), nil
	}
	content, err := os.ReadFile(connector.tokenFile)
	if err != nil {
		return "", classifier.New(classifier.BadRequest, "%v", err)
	}
	return strings.TrimSpace(string(content)), nil
}

// JSON reports whether the output format is JSON.
func (connector *Connector) JSON() bool { return connector.output == "json" }

// Print writes a value to standard output as JSON, or calls text to write it in
// readable form.
func (connector *Connector) Print(value any, text func(io.Writer)) {
	if connector.JSON() {
		_ = json.NewEncoder(os.Stdout).Encode(value)
		return
	}
	text(os.Stdout)
}

// Fail reports an error and returns the exit code of its result code.
func (connector *Connector) Fail(err error) subcommands.ExitStatus {
	return Fail(err, connector.JSON())
}

// Fail reports an error on standard error, optionally as JSON, and returns the exit
// code of its result code.
func Fail(err error, asJSON bool) subcommands.ExitStatus {
	code := classifier.CodeOf(err)
	meaning := code.Meaning()
	if asJSON {
		_ = json.NewEncoder(os.Stderr).Encode(map[string]any{
			"code": code, "name": meaning.Name, "message": err.Error(), "ran": classifier.ExecutionOf(err).String(),
		})
	} else {
		fmt.Fprintf(os.Stderr, "corianderroad: %v (%s)\n", err, meaning.Action)
	}
	return subcommands.ExitStatus(meaning.Exit)
}
