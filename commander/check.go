package commander

import (
	"time"

	"github.com/google/uuid"

	"corianderroad/classifier"
	"corianderroad/identifier"
)

// Bounds of commands.
const (
	// MaxBodyBytes limits the bodies of requests and answers. A frame between
	// nodes has at most 1 MiB; the remainder is reserved for the other fields.
	MaxBodyBytes    = 1<<20 - 64<<10
	MaxTextBytes    = 256 << 10
	MaxNameBytes    = 128
	MaxAccelerators = 64
	MaxRunTime      = 30 * 24 * time.Hour
)

// Check implements Command.
func (call Call) Check() error {
	if err := checkNames(string(call.Workspace), string(call.Service), string(call.Method)); err != nil {
		return err
	}
	if len(call.Body) > MaxBodyBytes {
		return classifier.New(classifier.BodyTooLarge, "body has %d bytes, at most %d are accepted", len(call.Body), MaxBodyBytes)
	}
	if call.RunTime < 0 || call.RunTime > MaxRunTime {
		return classifier.New(classifier.BadRequest, "run time %s is not between 0 and %s", call.RunTime, MaxRunTime)
	}
	if call.Key != "" {
		if _, err := IssuedAt(call.Key); err != nil {
			return err
		}
	}
	return nil
}

// IssuedAt returns the time of issue that a key contains. The error has code BadKey if
// the key is not a UUIDv7.
func IssuedAt(key identifier.Key) (time.Time, error) {
	parsed, err := uuid.Parse(string(key))
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, classifier.New(classifier.BadKey, "idempotency key %q is not a UUIDv7", key)
	}
	// The first 48 bits of a UUIDv7 are the Unix time in milliseconds (RFC 9562).
	var milliseconds int64
	for _, octet := range parsed[:6] {
		milliseconds = milliseconds<<8 | int64(octet)
	}
	return time.UnixMilli(milliseconds), nil
}

// Check implements Command.
func (submit Submit) Check() error {
	job := submit.Job
	if err := checkNames(string(submit.Workspace), string(job.Job)); err != nil {
		return err
	}
	if job.Workspace != submit.Workspace {
		return classifier.New(classifier.Forbidden, "job %q belongs to another workspace", job.Job)
	}
	if job.RunTime < 0 || job.RunTime > MaxRunTime {
		return classifier.New(classifier.BadRequest, "run time %s is not between 0 and %s", job.RunTime, MaxRunTime)
	}
	return job.Shape.Check()
}

// Check returns an error with code BadRequest if the shape is out of bounds.
func (shape Shape) Check() error {
	if shape.Members < 1 || shape.Members > MaxGangMembers {
		return classifier.New(classifier.BadRequest, "members is %d, must be 1 to %d", shape.Members, MaxGangMembers)
	}
	if shape.Accelerators < 0 || shape.Accelerators > MaxAccelerators {
		return classifier.New(classifier.BadRequest, "accelerators is %d, must be 0 to %d", shape.Accelerators, MaxAccelerators)
	}
	if shape.Adjacency > SameRack {
		return classifier.New(classifier.BadRequest, "adjacency %d is unknown", shape.Adjacency)
	}
	return nil
}

// Check implements Command.
func (cancel Cancel) Check() error {
	return checkNames(string(cancel.Workspace), string(cancel.Job))
}

// Check implements Command.
func (publish Publish) Check() error {
	if len(publish.Text) == 0 || len(publish.Text) > MaxTextBytes {
		return classifier.New(classifier.InvalidText, "text has %d bytes, must be 1 to %d", len(publish.Text), MaxTextBytes)
	}
	return checkNames(string(publish.Organisation))
}

// Check implements Command.
func (approve Approve) Check() error {
	if approve.Publication == 0 {
		return classifier.New(classifier.BadRequest, "the offset of the publication is missing")
	}
	return checkNames(string(approve.Organisation))
}

// Check implements Command.
func (drain Drain) Check() error { return checkNames(string(drain.Node)) }

func checkNames(names ...string) error {
	for _, name := range names {
		if name == "" || len(name) > MaxNameBytes {
			return classifier.New(classifier.BadRequest, "a name has %d bytes, must be 1 to %d", len(name), MaxNameBytes)
		}
	}
	return nil
}
