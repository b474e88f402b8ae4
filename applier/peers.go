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
	// lagThreshold is how long the log may take to deliver an append that a peer has
	// applied. After that, the append is requested from the peer.
	lagThreshold = time.Second
	// minRequestInterval is how long a peer may take to respond before the request is
	// sent to the next peer. The time doubles with each request until an append or a
	// copy is applied, up to maxRequestInterval: a copy that takes long because the
	// link is full must not be replaced by a newer one of another peer.
	minRequestInterval = time.Second
	maxRequestInterval = 16 * time.Second
	// copyInterval is the minimum time between two complete copies of a stream's
	// state. It bounds their cost when several peers request one.
	copyInterval = time.Second
)

// peer is another node and the state that its heartbeats report.
type peer struct {
	node    identifier.Node
	address netip.AddrPort
	digest  messenger.Digest
}

// peers holds the other members, sorted by name.
type peers struct {
	others []peer
	// rank is this node's position among all members.
	rank int
	// copyApplied is true once this node has caught up with a peer through the
	// peer's responses.
	copyApplied  bool
	requestCount int
}

func newPeers() *peers { return &peers{} }

func (peers *peers) find(node identifier.Node) (int, bool) {
	return slices.BinarySearchFunc(peers.others, node, func(peer peer, node identifier.Node) int { return cmp.Compare(peer.node, node) })
}

func (peers *peers) update(self identifier.Node, members []messenger.Member) {
	var others []peer
	peers.rank = 0
	for _, member := range members {
		if member.Node == self || member.State == messenger.Dead {
			continue
		}
		if member.Node < self {
			peers.rank++
		}
		next := peer{node: member.Node, address: member.Address, digest: member.Digest}
		if index, found := peers.find(member.Node); found {
			next.digest = peers.others[index].digest
		}
		others = append(others, next)
	}
	slices.SortFunc(others, func(a, b peer) int { return cmp.Compare(a.node, b.node) })
	peers.others = others
}

// nextAhead returns a peer that has applied more than the given offset. Successive
// calls rotate through such peers.
func (peers *peers) nextAhead(name identifier.Stream, applied identifier.Offset) (peer, bool) {
	peers.requestCount++
	for i := range peers.others {
		peer := peers.others[(peers.requestCount+i)%len(peers.others)]
		if peer.appliedOffset(name) > applied {
			return peer, true
		}
	}
	return peer{}, false
}

func (peer peer) appliedOffset(name identifier.Stream) identifier.Offset {
	switch name {
	case identifier.Configuration:
		return peer.digest.Configuration
	case identifier.Jobs:
		return peer.digest.Jobs
	default:
		return peer.digest.Intents
	}
}

// lagDetector detects that the log has not delivered an append that a peer has
// already applied.
type lagDetector struct {
	// target is the offset that a peer has applied, since is when the lag behind it
	// began.
	target      identifier.Offset
	since       time.Time
	requestedAt time.Time
	// requestInterval is the time from requestedAt to the next request.
	requestInterval time.Duration
	copySentAt      time.Time
}

// observe records the offset that a peer has applied.
func (lagDetector *lagDetector) observe(now time.Time, applied, offset identifier.Offset) {
	if offset > applied && lagDetector.target <= applied {
		lagDetector.target, lagDetector.since = offset, now
	}
}

func (lagDetector *lagDetector) recordProgress(now time.Time, applied identifier.Offset) {
	if applied >= lagDetector.target {
		lagDetector.since = now
	}
}

// recordRequest records a request to a peer.
func (lagDetector *lagDetector) recordRequest(now time.Time) {
	lagDetector.requestedAt = now
	lagDetector.requestInterval = min(max(2*lagDetector.requestInterval, minRequestInterval), maxRequestInterval)
}

// handleHeartbeatReceived stores the offsets that a peer has applied.
func (applier *Applier) handleHeartbeatReceived(now time.Time, heartbeat messenger.HeartbeatReceived) {
	if heartbeat.Node == applier.identity.Node {
		return
	}
	applier.lastContactAt = now
	index, found := applier.peers.find(heartbeat.Node)
	if !found {
		applier.peers.others = slices.Insert(applier.peers.others, index, peer{node: heartbeat.Node})
	}
	applier.peers.others[index].address = heartbeat.Address
	applier.peers.others[index].digest = heartbeat.Digest
	for _, stream := range applier.streams {
		stream.lag.observe(now, stream.applied, applier.peers.others[index].appliedOffset(stream.name))
	}
	applier.catchUp(now)
}

// catchUp requests from a peer the appends that the log has not delivered in time.
func (applier *Applier) catchUp(now time.Time) {
	for _, stream := range applier.streams {
		lag := &stream.lag
		if lag.target <= stream.applied || now.Sub(lag.since) < lagThreshold || now.Sub(lag.requestedAt) < lag.requestInterval {
			continue
		}
		if stream.name == identifier.Intents && stream.applied == 0 {
			// Peers send no copy of the intents. The start of the coverage has to be
			// read from the log.
			continue
		}
		peer, ok := applier.peers.nextAhead(stream.name, stream.applied)
		if !ok {
			continue
		}
		applier.requestEntries(now, stream, peer)
	}
}

func (applier *Applier) requestEntries(now time.Time, stream *stream, peer peer) {
	stream.lag.recordRequest(now)
	applier.emit(messenger.SendPeer{
		To: peer.node, Address: peer.address,
		Message: messenger.EntriesRequest{Stream: stream.name, From: stream.applied + 1},
	})
}

func (applier *Applier) handlePeerReceived(now time.Time, received messenger.PeerReceived) {
	applier.lastContactAt = now
	index, found := applier.peers.find(received.From)
	if !found {
		return
	}
	switch message := received.Message.(type) {
	case messenger.EntriesRequest:
		applier.handleEntriesRequest(now, applier.peers.others[index], message)
	case messenger.EntriesResponse:
		applier.handleEntriesResponse(now, applier.peers.others[index], message)
	}
}

// handleEntriesRequest sends a peer the requested appends, or a copy of the state
// if the window no longer holds them.
func (applier *Applier) handleEntriesRequest(now time.Time, peer peer, request messenger.EntriesRequest) {
	stream := applier.stream(request.Stream)
	if stream == nil || request.From > stream.applied {
		return
	}
	respond := func(response messenger.EntriesResponse) {
		response.Stream = stream.name
		applier.emit(messenger.SendPeer{To: peer.node, Address: peer.address, Message: response})
	}
	if appends := stream.window.appendsFrom(request.From); len(appends) > 0 {
		respond(messenger.EntriesResponse{Appends: appends})
		return
	}
	if stream.name == identifier.Intents || now.Sub(stream.lag.copySentAt) < copyInterval {
		return
	}
	stream.lag.copySentAt = now
	for _, part := range stream.snapshotParts() {
		respond(messenger.EntriesResponse{Snapshot: &part})
	}
}

// handleEntriesResponse applies the appends or the snapshot that a peer sent.
func (applier *Applier) handleEntriesResponse(now time.Time, peer peer, response messenger.EntriesResponse) {
	stream := applier.stream(response.Stream)
	if stream == nil {
		return
	}
	before := stream.applied
	for _, read := range response.Appends {
		if read.Stream == stream.name && read.Offset == stream.applied+1 {
			applier.applyAppend(now, stream, read)
		}
	}
	if part := response.Snapshot; part != nil && part.Covered > stream.applied {
		stream.lag.requestedAt = now // the copy arrives
		if stream.peerParts.add(*part) && applier.installSnapshot(now, stream, &stream.peerParts) {
			// The age of the newest snapshot in the log is unknown.
			stream.snapshot.base = now.Add(-applier.parameters.Retention / 4)
		}
	}
	if stream.applied == before {
		return
	}
	stream.lag.requestInterval = 0
	if stream.applied < peer.appliedOffset(stream.name) {
		applier.requestEntries(now, stream, peer)
	} else {
		applier.peers.copyApplied = true
		applier.setCaughtUp(stream)
	}
	stream.rewoundAt = now
	applier.emit(messenger.StreamAdvanced{Stream: stream.name, Applied: stream.applied})
}
