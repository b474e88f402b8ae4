// Package watcher ends transfers that make no progress. The duration of a transfer
// depends on its size and on the load of the link. If it were bounded, many nodes
// that share a full link would all give up half-way and begin again for ever.
package watcher

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrStalled is the cause of the end of a context whose transfer made no progress.
var ErrStalled = errors.New("the transfer has stalled")

const (
	// minProgressBytes is how much must arrive within the stall timeout, so that a
	// connection that delivers a few bytes at a time does not last for ever.
	minProgressBytes = 1 << 10
	// maxReadBytes bounds a read, because some readers return only when the target is
	// full.
	maxReadBytes = 4 << 10
)

// Watcher watches one transfer. It is safe for concurrent use.
type Watcher struct {
	timer        *time.Timer
	stallTimeout time.Duration
	cancel       context.CancelCauseFunc
}

// New returns a context that ends with the cause ErrStalled when the transfer makes
// no progress for stallTimeout. The caller must call Stop.
func New(ctx context.Context, stallTimeout time.Duration) (context.Context, *Watcher) {
	return NewAfter(ctx, stallTimeout, stallTimeout)
}

// NewAfter does the same as New, but allows firstTimeout for the first progress, for
// a call that waits before it answers.
func NewAfter(ctx context.Context, firstTimeout, stallTimeout time.Duration) (context.Context, *Watcher) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(firstTimeout, func() { cancel(ErrStalled) })
	return ctx, &Watcher{timer: timer, stallTimeout: stallTimeout, cancel: cancel}
}

// Stop ends the context and releases the watcher's resources.
func (watcher *Watcher) Stop() {
	watcher.timer.Stop()
	watcher.cancel(nil)
}

// Reader returns a reader whose successful reads are progress of the transfer.
func (watcher *Watcher) Reader(reader io.Reader) io.Reader {
	return &progressReader{reader: reader, watcher: watcher}
}

type progressReader struct {
	reader  io.Reader
	watcher *Watcher
	// bytes is what has been read since the last progress.
	bytes int
}

// Read implements io.Reader.
func (progressReader *progressReader) Read(target []byte) (int, error) {
	count, err := progressReader.reader.Read(target[:min(len(target), maxReadBytes)])
	progressReader.bytes += count
	if progressReader.bytes >= minProgressBytes {
		progressReader.bytes = 0
		progressReader.watcher.timer.Reset(progressReader.watcher.stallTimeout)
	}
	return count, err
}
