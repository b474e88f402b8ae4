package shedder

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/identifier"
)

// request grants memory, or makes the connection wait for it.
func (shedder *Shedder) request(now time.Time, event MemoryRequested) {
	client, ok := shedder.connections[event.Connection]
	if !ok || client.isClosing || client.wanted > 0 {
		shedder.actions = append(shedder.actions, Deny{event.Connection, MemoryLimit})
		return
	}
	if client.held == 0 {
		client.startedAt = now
	}
	client.wanted, client.wantedAt = event.Bytes, now
	shedder.waiting = append(shedder.waiting, client)
}

// serveWaiting grants memory to the connections that wait for it, those of the workspace
// that holds least first. If none fits, it turns others away.
func (shedder *Shedder) serveWaiting(now time.Time) {
	for len(shedder.waiting) > 0 {
		first := shedder.firstWaiting()
		if shedder.fits(first) {
			shedder.grant(first)
			continue
		}
		shedder.pressures[Memory].begin(now)
		if !shedder.relieve(now, first) {
			break
		}
	}
	for _, client := range slices.Clone(shedder.waiting) {
		if now.Sub(client.wantedAt) >= maxWait {
			shedder.deny(client)
		}
	}
}

func (shedder *Shedder) firstWaiting() *client {
	return slices.MinFunc(shedder.waiting, func(a, b *client) int {
		return cmp.Or(cmp.Compare(shedder.groups[a.workspace].held, shedder.groups[b.workspace].held), a.wantedAt.Compare(b.wantedAt))
	})
}

// fits reports whether the memory that a connection wants is free. A body that is alone
// always fits, because the configuration may allow larger bodies than the limit.
func (shedder *Shedder) fits(client *client) bool {
	return shedder.held+client.wanted <= shedder.limits.Memory || shedder.held == client.held
}

func (shedder *Shedder) grant(client *client) {
	shedder.held += client.wanted
	client.held += client.wanted
	shedder.groups[client.workspace].held += client.wanted
	shedder.abandon(client)
	shedder.actions = append(shedder.actions, Grant{client.id})
}

// deny refuses the request that a connection sends. Its memory will be returned.
func (shedder *Shedder) deny(client *client) {
	shedder.abandon(client)
	shedder.markClosing(client)
	shedder.actions = append(shedder.actions, Deny{client.id, MemoryLimit})
}

// abandon ends the wait of a connection for memory.
func (shedder *Shedder) abandon(client *client) {
	if client.wanted > 0 {
		client.wanted = 0
		index := slices.Index(shedder.waiting, client)
		shedder.waiting = slices.Delete(shedder.waiting, index, index+1)
	}
}

func (shedder *Shedder) release(client *client, bytes int64) {
	client.held -= bytes
	shedder.held -= bytes
	shedder.groups[client.workspace].held -= bytes
	if client.isClosing {
		shedder.releasing -= bytes
	}
}

// relieve closes a transfer unless what closed ones still hold is enough for the waiting
// connection. Of the workspaces other than the largest, those that hold less than an equal
// share lose none. It reports whether it has turned one away.
func (shedder *Shedder) relieve(now time.Time, waiting *client) bool {
	if shedder.held-shedder.releasing+waiting.wanted <= shedder.limits.Memory {
		return false
	}
	isUrgent := now.Sub(waiting.wantedAt) >= reliefDelay
	holding := shedder.sortedGroups(func(group *group) int64 { return group.held })
	for index, workspace := range holding {
		if index > 0 && shedder.groups[workspace].held*int64(len(holding)) < shedder.limits.Memory {
			return false
		}
		victim, reason := shedder.slowest(now, workspace, isUrgent)
		switch {
		case victim == nil:
			continue
		case victim.wanted > 0:
			shedder.deny(victim)
		default:
			shedder.close(now, victim, reason)
		}
		return true
	}
	return false
}

// slowest returns the transfer of a workspace that is turned away first: the slowest of
// those whose speed is known, or, if it is urgent, the largest of the others.
func (shedder *Shedder) slowest(now time.Time, workspace identifier.Workspace, isUrgent bool) (*client, Reason) {
	var slowest, largest *client
	for _, candidate := range shedder.closable(workspace) {
		if candidate.held == 0 || candidate.isBusy {
			continue
		}
		if candidate.sendingTime(now) >= slowAfter {
			if slowest == nil || candidate.isSlower(now, slowest) {
				slowest = candidate.client
			}
		} else if largest == nil || cmp.Or(cmp.Compare(candidate.held, largest.held), cmp.Compare(largest.id, candidate.id)) > 0 {
			largest = candidate.client
		}
	}
	if slowest != nil || !isUrgent {
		return slowest, SlowSender
	}
	return largest, LargestHolder
}

// sendingTime returns how long the client has had to send. The time in which it waits
// for memory does not count.
func (client *client) sendingTime(now time.Time) time.Duration {
	if client.wanted > 0 {
		now = client.wantedAt
	}
	return now.Sub(client.startedAt)
}

// isSlower reports whether a client sends more slowly than another one.
func (client *client) isSlower(now time.Time, other *client) bool {
	speed, otherSpeed := float64(client.held)/client.sendingTime(now).Seconds(), float64(other.held)/other.sendingTime(now).Seconds()
	return cmp.Or(cmp.Compare(speed, otherSpeed), cmp.Compare(other.held, client.held), cmp.Compare(client.id, other.id)) < 0
}
