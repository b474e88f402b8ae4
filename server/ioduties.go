package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"corianderroad/appender"
	"corianderroad/applier"
	"corianderroad/classifier"
	"corianderroad/controller"
	"corianderroad/decider"
	"corianderroad/detector"
	"corianderroad/dispatcher"
	"corianderroad/exporter"
	"corianderroad/follower"
	"corianderroad/framer"
	"corianderroad/identifier"
	"corianderroad/lister"
	"corianderroad/loader"
	"corianderroad/parser"
	"corianderroad/querier"
	"corianderroad/transporter"
)

// parameters derives the parameters of the state machines from the settings.
func parameters(settings *loader.Settings) decider.Parameters {
	founders := make([]identifier.Organisation, 0, len(settings.Founders))
	for _, founder := range settings.Founders {
		founders = append(founders, founder.Organisation)
	}
	return decider.Parameters{
		Applier:  applier.Parameters{Founders: founders, Parser: parser.Parser{}},
		Detector: detector.Parameters{Seeds: settings.Seeds()},
	}
}

// addIODuties adds the duties that do I/O. It opens the listener for peers, so that
// an address that is in use is reported before any duty runs.
func (server *Server) addIODuties() error {
	settings := server.settings
	listener, err := net.Listen("tcp", settings.PeerAddress.String())
	if err != nil {
		return classifier.New(classifier.InvalidSettings, "peer-address: %v", err)
	}
	events, meter := eventSink{server}, meter{server.exporter, rate.NewLimiter(refusalLinesPerSecond, refusalLineBurst)}
	key, err := framer.NewKey(settings.SharedKey)
	if err != nil {
		return classifier.New(classifier.InvalidSettings, "shared-key: %v", err)
	}
	server.duties = append(server.duties,
		transporter.New(server.identity, key, transporter.Parameters{}, listener, transporter.TCP{},
			server.sends, events, peerResponder{server}, meter),
		lister.New(&http.Client{}, "http://"+settings.VMList.String(), events, meter),
		dispatcher.New(server.minionCalls, server.slotQueries, events,
			dispatcher.Parameters{MaxCalls: settings.Limits.MinionCalls, Now: server.clock}),
		controller.New(server.workerCalls, events, controller.Parameters{MaxCalls: settings.Limits.WorkerCalls}))
	server.addLog(events)
	remote := transporter.NewQueryClient(server.identity, key, transporter.Parameters{}, transporter.TCP{}, meter)
	server.handler, err = server.routes(remote)
	return err
}

// Timeouts of reads of the log. If a connection stops responding, the read fails
// after readTimeout and the next read uses a new connection. With the default of
// 7 s, a submission was answered 7.05 s after its record was appended.
const (
	readWait    = 2 * time.Second
	readTimeout = 4 * time.Second
)

// addLog adds a reader and a writer for each stream of the log.
func (server *Server) addLog(events eventSink) {
	limiter := appender.NewLimiter()
	for _, stream := range streams() {
		reading := follower.Parameters{PollTimeout: readWait, UnavailableAfter: readTimeout}
		writing := appender.Parameters{}
		switch stream {
		case identifier.Intents:
			reading.StartAge = follower.IntentsStartAge
		case identifier.Configuration:
			writing.MaxEntries = 1 // the offset of an entry is its version, so each entry needs its own append
		}
		server.duties = append(server.duties,
			follower.New(stream, server.settings.LogService.AddrPort, newLogClient(), events, server.advances[stream], reading),
			appender.New(stream, server.settings.LogService.AddrPort, newLogClient(), events, server.appends[stream], limiter, writing))
	}
}

// peerResponder answers the queries of peers from this node's state machines.
type peerResponder struct {
	server *Server
}

// Respond implements transporter.Responder.
func (peerResponder peerResponder) Respond(ctx context.Context, query querier.Query) (querier.Answer, error) {
	return peerResponder.server.inspector.Inspect(ctx, query)
}

// meter counts the results that I/O duties report.
type meter struct {
	exporter       *exporter.Exporter
	refusalLimiter *rate.Limiter
}

// CountBytes implements transporter.Meter.
func (meter meter) CountBytes(node identifier.Node, region identifier.Region, sent, received int) {
	meter.exporter.CountBytes(node, region, "sent", sent)
	meter.exporter.CountBytes(node, region, "received", received)
}

// CountClosed implements transporter.Meter.
func (meter meter) CountClosed(_ identifier.Node, reason string) {
	meter.exporter.CountIO("connection-closed", reason)
}

// CountRefused implements transporter.Meter.
func (meter meter) CountRefused(identifier.Node) {
	meter.exporter.CountIO("peer-message", "unreadable")
}

// CountPoll implements lister.Meter.
func (meter meter) CountPoll(result string) { meter.exporter.CountIO("vm-list-polled", result) }

// RefuseEntry implements lister.Meter.
func (meter meter) RefuseEntry(name string, reason error) {
	meter.exporter.CountIO("vm-list-entry", "refused")
	if meter.refusalLimiter.Allow() {
		log.Warn().Str("vm", name).Str("reason", reason.Error()).Msg("entry of the VM list refused")
	}
}

// Limits of the log lines for refused entries. All refusals are counted.
const (
	refusalLinesPerSecond = 1
	refusalLineBurst      = 10
)
