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
	sources map[identifier.Node]*fixture
	queues  map[identifier.Node][]messenger.Peer
	turn    int
}

// newSlowLink returns a link from nodes whose state has a part for each founder.
func newSlowLink(parameters Parameters, senders ...identifier.Node) *slowLink {
	link := &slowLink{senders: senders, sources: map[identifier.Node]*fixture{}, queues: map[identifier.Node][]messenger.Peer{}}
	for _, sender := range senders {
		source := newFixture(parameters).catchUpAll()
		source.Step(epoch, messenger.HeartbeatReceived{Node: "node-t"})
		for _, founder := range parameters.Founders {
			publishLargeText(source, founder)
		}
		link.sources[sender] = source
	}
	return link
}

// request passes the requests among the actions of the receiving node to the senders
// at once, and queues the responses.
func (link *slowLink) request(now time.Time, actions []messenger.Action) {
	for _, action := range actions {
		sent, ok := action.(messenger.SendPeer)
		if !ok {
			continue
		}
		received := messenger.PeerReceived{From: "node-t", Message: sent.Message}
		for _, response := range link.sources[sent.To].Step(now, received) {
			if response, ok := response.(messenger.SendPeer); ok {
				link.queues[sent.To] = append(link.queues[sent.To], response.Message)
			}
		}
	}
}

// change changes the state of a sender, so that its window no longer holds the earlier
// appends, and returns the sender's heartbeat.
func (link *slowLink) change(sender identifier.Node) messenger.HeartbeatReceived {
	source := link.sources[sender]
	publishLargeText(source, "ash")
	stream := source.stream(identifier.Configuration)
	stream.window = window{}
	return messenger.HeartbeatReceived{Node: sender, Digest: messenger.Digest{Configuration: stream.applied}}
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
	target, link := newFixture(parameters), newSlowLink(parameters, "node-a", "node-c")
	configuration, carried := target.stream(identifier.Configuration), 0
	for elapsed := time.Duration(0); elapsed < span && configuration.applied == 0; elapsed += partTime {
		now := epoch.Add(elapsed)
		for _, sender := range link.senders {
			link.request(now, target.Step(now, link.change(sender)))
		}
		if received, ok := link.carry(); ok {
			carried++
			link.request(now, target.Step(now, received))
		}
	}
	parts := len(parameters.Founders)
	c.Assert(configuration.applied > 0, quicktest.IsTrue, quicktest.Commentf("no copy of %d parts after %d parts in %v", parts, carried, span))
	c.Assert(carried <= 4*parts, quicktest.IsTrue, quicktest.Commentf("%d parts carried for a copy of %d", carried, parts))
}

// TestSnapshotIsCompleteOverNarrowLink guards against a snapshot whose last parts
// expire while the first ones are appended. The next snapshot would begin again at
// the first part, until the log deletes the appends that no snapshot replaces.
func TestSnapshotIsCompleteOverNarrowLink(t *testing.T) {
	const (
		texts = 40                  // of 144 KiB
		share = 60_000_000 / 8 / 17 // one of 17 nodes behind the link between two regions
	)
	c := quicktest.New(t)
	parameters := testParameters
	parameters.Founders = nil
	for i := range texts {
		parameters.Founders = append(parameters.Founders, identifier.Organisation(fmt.Sprintf("founder-%d", i)))
	}
	fixture := newFixture(parameters).catchUpAll()
	for _, founder := range parameters.Founders {
		publishLargeText(fixture, founder)
	}
	now := epoch.Add(testRetention/4 + time.Second)
	appendedAt, parts, expired := now, 0, 0
	for _, action := range fixture.Step(now, messenger.Tick{}) {
		record, ok := action.(messenger.AppendRecord)
		if !ok {
			continue
		}
		parts++
		state := record.Entry.Record.(messenger.Snapshot).State.(messenger.ConfigurationState)
		for _, text := range state.Organisations {
			base64Bytes := len(text.Text) * 4 / 3
			appendedAt = appendedAt.Add(time.Duration(base64Bytes) * time.Second / share)
		}
		if record.Deadline.Before(appendedAt) {
			expired++
		}
	}
	c.Assert(parts >= texts, quicktest.IsTrue)
	c.Assert(expired, quicktest.Equals, 0, quicktest.Commentf("expired parts of %d after %v", parts, appendedAt.Sub(now)))
}
