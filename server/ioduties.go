package server

import (
	"context"
	"net"
	"net/http"
	"time"

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

// parameters derives the parameters of the machines from the settings.
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

// addPeripherals adds the duties that do I/O. It opens the listener for peers,
// so that an address that is in use is reported before anything runs.
func (server *Server) addPeripherals() error {
	settings := server.settings
	listener, err := net.Listen("tcp", settings.PeerAddress.String())
	if err != nil {
		return classifier.New(classifier.InvalidSettings, "peer-address: %v", err)
	}
	events, meter := sink{server}, meter{server.exporter}
	key, err := framer.NewKey(settings.SharedKey)
	if err != nil {
		return classifier.New(classifier.InvalidSettings, "shared-key: %v", err)
	}
	server.duties = append(server.duties,
		transporter.New(server.identity, key, transporter.Parameters{}, listener, transporter.TCP{},
			server.sends, events, answerer{server}, meter),
		lister.New(&http.Client{Timeout: listTimeout}, "http://"+settings.VMList.String(), events, meter),
		dispatcher.New(server.minionCalls, server.slotAsks, events,
			dispatcher.Parameters{Callers: settings.Limits.MinionCalls, Now: server.clock}),
		controller.New(server.workerCalls, events, controller.Parameters{Callers: settings.Limits.WorkerCalls}))
	server.addLog(events)
	asker := transporter.NewAsker(server.identity, key, transporter.Parameters{}, transporter.TCP{}, meter)
	server.handler, err = server.routes(asker)
	return err
}

// listTimeout bounds one look at the VM list. The list is a hint, so that a
// slow answer is not worth waiting for.
const listTimeout = 2 * time.Second

// Reads of the log. A read on a connection that has gone silent ends after
// readTimeout and another connection is made; with the default of 7 s a
// submission was answered 7.05 s after its record was appended.
const (
	readWait    = 2 * time.Second
	readTimeout = 4 * time.Second
)

// addLog adds a reader and a writer for each stream of the log.
func (server *Server) addLog(events sink) {
	limiter := appender.NewLimiter()
	for _, stream := range streams() {
		reading := follower.Parameters{Wait: readWait, Silence: readTimeout}
		writing := appender.Parameters{}
		switch stream {
		case identifier.Intents:
			reading.Recent = follower.IntentsRecent
		case identifier.Configuration:
			writing.MaxEntries = 1 // a version is an offset
		}
		server.duties = append(server.duties,
			follower.New(stream, server.settings.LogService.AddrPort, &http.Client{}, events, server.advances[stream], reading),
			appender.New(stream, server.settings.LogService.AddrPort, &http.Client{}, events, server.appends[stream], limiter, writing))
	}
}

// answerer answers the queries of peers from this node's machines.
type answerer struct {
	server *Server
}

// Respond implements transporter.Responder.
func (answerer answerer) Respond(ctx context.Context, query querier.Query) (querier.Answer, error) {
	return answerer.server.inspector.Inspect(ctx, query)
}

// meter counts what I/O duties report.
type meter struct {
	exporter *exporter.Exporter
}

// Transferred implements transporter.Meter.
func (meter meter) Transferred(node identifier.Node, region identifier.Region, sent, received int) {
	meter.exporter.CountBytes(node, region, "sent", sent)
	meter.exporter.CountBytes(node, region, "received", received)
}

// Closed implements transporter.Meter.
func (meter meter) Closed(_ identifier.Node, reason string) {
	meter.exporter.CountIO("connection-closed", reason)
}

// Polled implements lister.Meter.
func (meter meter) Polled(result string) { meter.exporter.CountIO("vm-list-polled", result) }
