package applier

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// slowLink carries the messages of several nodes to one node. It alternates between
// the senders, as connections that share a link do.
type slowLink struct {
	senders []identifier.Node
	queues  map[identifier.Node][]messenger.Peer
	turn    int
}

// carry returns the next message, false if there is none.
func (link *slowLink) carry() (messenger.PeerReceived, bool) {
	for range link.senders {
		link.turn++
		sender := link.senders[link.turn%len(link.senders)]
		if queue := link.queues[sender]; len(queue) > 0 {
			link.queues[sender] = queue[1:]
			return messenger.PeerReceived{From: sender, Message: queue[0]}, true
		}
	}
	return messenger.PeerReceived{}, false
}

// publishLargeText delivers a publication whose text fills a part of a snapshot.
func publishLargeText(fixture *fixture, organisation identifier.Organisation) {
	text := fmt.Appendf(nil, "%s ", organisation)
	text = append(text, bytes.Repeat([]byte(organisation), maxPartSize*3/4/len(organisation))...)
	base, _ := fixture.configuration.currentVersion(organisation)
	fixture.read(identifier.Configuration, messenger.Publication{Organisation: organisation, Base: base, Text: text})
}

// TestCopyArrivesOverNarrowLink guards against a node that requests another copy
// while one arrives: the parts of a newer copy from another peer replace those that
// it has, so that no copy is ever complete and all of them fill the link.
func TestCopyArrivesOverNarrowLink(t *testing.T) {
	const (
		partTime = 250 * time.Millisecond // 200 KB for each of 17 nodes take longer on 60 Mbit/s
		span     = 2 * time.Minute
	)
	c := quicktest.New(t)
	parameters := testParameters
	for i := range 12 {
		parameters.Founders = append(parameters.Founders, identifier.Organisation(fmt.Sprintf("founder-%d", i)))
	}
	target := newFixture(parameters)
	link := &slowLink{senders: []identifier.Node{"node-a", "node-c"}, queues: map[identifier.Node][]messenger.Peer{}}
	sources := map[identifier.Node]*fixture{}
	for _, name := range link.senders {
		sources[name] = newFixture(parameters).catchUpAll()
		sources[name].Step(epoch, messenger.HeartbeatReceived{Node: "node-t"})
		for _, founder := range parameters.Founders {
			publishLargeText(sources[name], founder)
		}
	}
	carried := 0
	request := func(now time.Time, actions []messenger.Action) {
		for _, action := range actions {
			sent, ok := action.(messenger.SendPeer)
			if !ok {
				continue
			}
			source := sources[sent.To]
			for _, response := range source.Step(now, messenger.PeerReceived{From: "node-t", Message: sent.Message}) {
				if response, ok := response.(messenger.SendPeer); ok {
					link.queues[sent.To] = append(link.queues[sent.To], response.Message)
				}
			}
		}
	}
	configuration := target.stream(identifier.Configuration)
	for elapsed := time.Duration(0); elapsed < span && configuration.applied == 0; elapsed += partTime {
		now := epoch.Add(elapsed)
		for _, name := range link.senders {
			source := sources[name]
			// The state changes, and the appends are no longer in the window.
			publishLargeText(source, "ash")
			source.stream(identifier.Configuration).window = window{}
			applied := source.stream(identifier.Configuration).applied
			request(now, target.Step(now, messenger.HeartbeatReceived{Node: name, Digest: messenger.Digest{Configuration: applied}}))
		}
		if received, ok := link.carry(); ok {
			carried++
			request(now, target.Step(now, received))
		}
	}
	parts := len(sources["node-a"].stream(identifier.Configuration).snapshotParts())
	c.Assert(configuration.applied > 0, quicktest.IsTrue, quicktest.Commentf("no copy of %d parts after %d parts in %v", parts, carried, span))
	c.Assert(carried <= 4*parts, quicktest.IsTrue, quicktest.Commentf("%d parts carried for a copy of %d", carried, parts))
}
