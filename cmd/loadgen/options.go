package main

import (
	"bytes"
	"flag"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"corianderroad/cmd/loadgen/planner"
	"corianderroad/identifier"
)

// options holds the settings of one run.
type options struct {
	entries    []netip.AddrPort
	control    netip.AddrPort
	tokens     tokens
	operator   string
	service    identifier.Service
	short      planner.Kind
	long       planner.Kind
	swing      planner.LoadSwing
	duration   time.Duration
	limit      time.Duration
	maxCalls   int
	callers    int
	seed       uint64
	workspaces []planner.Workspace
}

// tokens is the content of a file of example tokens.
type tokens struct {
	Operators  map[string]string               `yaml:"operators"`
	Workspaces map[identifier.Workspace]string `yaml:"workspaces"`
}

func parseOptions(arguments []string) (options, error) {
	parsed := options{
		short: planner.Kind{Class: planner.Short},
		long:  planner.Kind{Class: planner.Long, Idempotent: true},
	}
	flags := flag.NewFlagSet("loadgen", flag.ContinueOnError)
	entries := flags.String("entries", "", "HTTP addresses of the entry nodes, separated by commas")
	control := flags.String("control", "127.0.0.1:19002", "control address of the stand-ins")
	tokensFile := flags.String("tokens", "", "file with the tokens of the workspaces and operators")
	workspaces := flags.String("workspaces", "", "workspaces that send calls, separated by commas")
	service := flags.String("service", "", "service to call")
	shortMethod := flags.String("short-method", "", "method of the short calls, not idempotent")
	longMethod := flags.String("long-method", "", "method of the long calls, idempotent")
	flags.StringVar(&parsed.operator, "operator", "", "organisation whose operator queries the status")
	flags.DurationVar(&parsed.short.RunTime, "short-run-time", 40*time.Millisecond, "run time of the short calls")
	flags.DurationVar(&parsed.long.RunTime, "long-run-time", 3*time.Second, "run time of the long calls")
	flags.DurationVar(&parsed.short.Timeout, "short-timeout", 2*time.Second, "timeout of the short calls")
	flags.DurationVar(&parsed.long.Timeout, "long-timeout", 20*time.Second, "timeout of the long calls")
	flags.Float64Var(&parsed.short.Rate, "short-rate", 30, "short calls per second outside of peaks")
	flags.Float64Var(&parsed.long.Rate, "long-rate", 3, "long calls per second outside of peaks")
	flags.Float64Var(&parsed.short.UnkeyedFraction, "unkeyed", 0.1, "fraction of the short calls without an idempotency key, 0 to 1")
	flags.Float64Var(&parsed.swing.Factor, "swing", 10, "factor of the rate in peaks")
	flags.DurationVar(&parsed.swing.Period, "swing-period", 8*time.Second, "period of the peaks")
	flags.DurationVar(&parsed.duration, "duration", 20*time.Second, "how long calls are sent")
	flags.DurationVar(&parsed.limit, "limit", 2*time.Minute, "time after which open calls are abandoned")
	flags.IntVar(&parsed.maxCalls, "max-calls", 200_000, "maximum number of calls of each kind")
	flags.IntVar(&parsed.callers, "callers", 1024, "maximum number of open calls of each kind")
	flags.Uint64Var(&parsed.seed, "seed", 20261204, "seed of the random load")
	if err := flags.Parse(arguments); err != nil {
		return options{}, errors.WithStack(err)
	}
	parsed.service = identifier.Service(*service)
	parsed.short.Method, parsed.long.Method = identifier.Method(*shortMethod), identifier.Method(*longMethod)
	return parsed, parsed.resolve(*entries, *control, *tokensFile, *workspaces)
}

func (options *options) resolve(entries, control, tokensFile, workspaces string) error {
	for _, text := range strings.Split(entries, ",") {
		entry, err := netip.ParseAddrPort(text)
		if err != nil {
			return errors.Wrap(err, "-entries")
		}
		options.entries = append(options.entries, entry)
	}
	var err error
	if options.control, err = netip.ParseAddrPort(control); err != nil {
		return errors.Wrap(err, "-control")
	}
	text, err := os.ReadFile(tokensFile)
	if err != nil {
		return errors.Wrap(err, "-tokens")
	}
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&options.tokens); err != nil {
		return errors.Wrap(err, tokensFile)
	}
	for _, name := range strings.Split(workspaces, ",") {
		token, ok := options.tokens.Workspaces[identifier.Workspace(name)]
		if !ok {
			return errors.Errorf("-workspaces: %s has no token for %q", tokensFile, name)
		}
		options.workspaces = append(options.workspaces, planner.Workspace{Name: identifier.Workspace(name), Token: token})
	}
	return options.validate()
}

func (options *options) validate() error {
	switch {
	case options.service == "" || options.short.Method == "" || options.long.Method == "":
		return errors.New("-service, -short-method and -long-method are required")
	case options.short.Rate <= 0 || options.long.Rate <= 0 || options.swing.Factor <= 0:
		return errors.New("-short-rate, -long-rate and -swing must be above 0")
	case options.duration <= 0 || options.limit < options.duration:
		return errors.New("-duration must be above 0 and at most -limit")
	case options.callers < 1 || options.maxCalls < 1:
		return errors.New("-callers and -max-calls must be at least 1")
	case options.operator != "" && options.tokens.Operators[options.operator] == "":
		return errors.Errorf("-operator: no token for %q", options.operator)
	}
	return nil
}
