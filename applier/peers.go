package applier

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

const (
	// lateAfter is how long the log may take to deliver an append that a peer has
	// applied, before the peer is asked for it.
	lateAfter = time.Second
	// askPeriod is how long an answer of a peer is awaited before the next is asked.
	askPeriod = time.Second
	// copyPeriod bounds the cost of whole copies that several peers ask for.
	copyPeriod = time.Second
)

// peer is another node as its heartbeats describe it.
type peer struct {
	node    identifier.Node
	address netip.AddrPort
	digest  messenger.Digest
}

// peers holds the other members in the order of their names.
type peers struct {
	all []peer
	// rank is this node's position among all members.
	rank int
	// copied says that a peer's copy was applied.
	copied bool
	asked  int
}

func newPeers() *peers { return &peers{} }

func (peers *peers) find(node identifier.Node) (int, bool) {
	return slices.BinarySearchFunc(peers.all, node, func(peer peer, node identifier.Node) int { return cmp.Compare(peer.node, node) })
}

func (peers *peers) update(self identifier.Node, members []messenger.Member) {
	var all []peer
	peers.rank = 0
	for _, member := range members {
		if member.Node == self || member.State == messenger.Dead {
			continue
		}
		if member.Node < self {
			peers.rank++
		}
		next := peer{node: member.Node, address: member.Address, digest: member.Digest}
		if at, known := peers.find(member.Node); known {
			next.digest = peers.all[at].digest
		}
		all = append(all, next)
	}
	slices.SortFunc(all, func(a, b peer) int { return cmp.Compare(a.node, b.node) })
	peers.all = all
}

// ahead returns a peer that has applied more than the given offset, another
// with each call.
func (peers *peers) ahead(name identifier.Stream, applied identifier.Offset) (peer, bool) {
	peers.asked++
	for i := range peers.all {
		peer := peers.all[(peers.asked+i)%len(peers.all)]
		if peer.applied(name) > applied {
			return peer, true
		}
	}
	return peer{}, false
}

func (peer peer) applied(name identifier.Stream) identifier.Offset {
	switch name {
	case identifier.Configuration:
		return peer.digest.Configuration
	case identifier.Jobs:
		return peer.digest.Jobs
	default:
		return peer.digest.Intents
	}
}

// lateness detects that the log is late with an append that a peer has applied.
type lateness struct {
	target identifier.Offset
	since  time.Time
	asked  time.Time
	copied time.Time
}

func (late *lateness) heard(now time.Time, applied, offset identifier.Offset) {
	if offset > applied && late.target <= applied {
		late.target, late.since = offset, now
	}
}

func (late *lateness) progress(now time.Time, applied identifier.Offset) {
	if applied >= late.target {
		late.since = now
	}
}

// peerHeard notes what a peer has applied.
func (applier *Applier) peerHeard(now time.Time, heard messenger.HeartbeatReceived) {
	if heard.Node == applier.identity.Node {
		return
	}
	applier.heardAt = now
	at, known := applier.peers.find(heard.Node)
	if !known {
		applier.peers.all = slices.Insert(applier.peers.all, at, peer{node: heard.Node})
	}
	applier.peers.all[at].address = heard.Address
	applier.peers.all[at].digest = heard.Digest
	for _, stream := range applier.streams {
		stream.late.heard(now, stream.applied, applier.peers.all[at].applied(stream.name))
	}
	applier.catchUp(now)
}

// catchUp asks a peer for the appends that the log is late with.
func (applier *Applier) catchUp(now time.Time) {
	for _, stream := range applier.streams {
		late := &stream.late
		if late.target <= stream.applied || now.Sub(late.since) < lateAfter || now.Sub(late.asked) < askPeriod {
			continue
		}
		if stream.name == identifier.Intents && stream.applied == 0 {
			// Peers have no copy of the intents: the start of the coverage is read
			// from the log.
			continue
		}
		peer, ok := applier.peers.ahead(stream.name, stream.applied)
		if !ok {
			continue
		}
		late.asked = now
		applier.ask(stream, peer)
	}
}

func (applier *Applier) ask(stream *stream, peer peer) {
	applier.emit(messenger.SendPeer{
		To: peer.node, Address: peer.address,
		Message: messenger.EntriesRequest{Stream: stream.name, From: stream.applied + 1},
	})
}

func (applier *Applier) peerReceived(now time.Time, received messenger.PeerReceived) {
	applier.heardAt = now
	at, known := applier.peers.find(received.From)
	if !known {
		return
	}
	switch message := received.Message.(type) {
	case messenger.EntriesRequest:
		applier.answerPeer(now, applier.peers.all[at], message)
	case messenger.EntriesResponse:
		applier.applyAnswer(now, applier.peers.all[at], message)
	}
}

// answerPeer answers a peer with appends, or with a copy of the state if they are no
// longer kept.
func (applier *Applier) answerPeer(now time.Time, peer peer, ask messenger.EntriesRequest) {
	stream := applier.stream(ask.Stream)
	if stream == nil || ask.From > stream.applied {
		return
	}
	answer := func(tell messenger.EntriesResponse) {
		tell.Stream = stream.name
		applier.emit(messenger.SendPeer{To: peer.node, Address: peer.address, Message: tell})
	}
	if appends := stream.window.from(ask.From); len(appends) > 0 {
		answer(messenger.EntriesResponse{Appends: appends})
		return
	}
	if stream.name == identifier.Intents || now.Sub(stream.late.copied) < copyPeriod {
		return
	}
	stream.late.copied = now
	for _, part := range stream.parts() {
		answer(messenger.EntriesResponse{Snapshot: &part})
	}
}

// applyAnswer applies a peer's answer.
func (applier *Applier) applyAnswer(now time.Time, peer peer, tell messenger.EntriesResponse) {
	stream := applier.stream(tell.Stream)
	if stream == nil {
		return
	}
	before := stream.applied
	for _, read := range tell.Appends {
		if read.Stream == stream.name && read.Offset == stream.applied+1 {
			applier.fold(now, stream, read)
		}
	}
	if part := tell.Snapshot; part != nil && part.Covered > stream.applied && stream.fromPeer.add(*part) &&
		applier.install(now, stream, &stream.fromPeer) {
		// Nothing is known about the age of the log's newest snapshot.
		stream.snapshot.base = now.Add(-applier.parameters.Retention / 4)
	}
	if stream.applied == before {
		return
	}
	if stream.applied < peer.applied(stream.name) {
		stream.late.asked = now
		applier.ask(stream, peer)
	} else {
		applier.peers.copied = true
		applier.setCurrent(stream)
	}
	stream.rewound = now
	applier.emit(messenger.StreamAdvanced{Stream: stream.name, Applied: stream.applied})
}
