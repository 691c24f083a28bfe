package registry

import (
	"time"

	"arbutusmast.example/arbutusmast/core/host"
	"arbutusmast.example/arbutusmast/core/message"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Command is one entry of the replicated log. Besides Time and Proposer at most one
// field is set. A command without such a field only advances the clock.
type Command struct {
	// Time is the elapsed time at the proposer, from an arbitrary origin.
	Time               time.Duration       `cbor:"1,keyasint"`
	ChangeConfig       *ChangeConfig       `cbor:"2,keyasint,omitempty"`
	BeginCall          *BeginCall          `cbor:"3,keyasint,omitempty"`
	FinishCall         *FinishCall         `cbor:"4,keyasint,omitempty"`
	Lease              *Lease              `cbor:"5,keyasint,omitempty"`
	LoadSlot           *LoadSlot           `cbor:"6,keyasint,omitempty"`
	Reports            []host.Report       `cbor:"7,keyasint,omitempty"`
	DeadHosts          []DeadHost          `cbor:"8,keyasint,omitempty"`
	SetLeaving         *SetLeaving         `cbor:"9,keyasint,omitempty"`
	SetPlatformLeaving *SetPlatformLeaving `cbor:"10,keyasint,omitempty"`
	RecordCrash        *RecordCrash        `cbor:"11,keyasint,omitempty"`
	// Proposer identifies the process whose clock Time is read from.
	Proposer uint64    `cbor:"12,keyasint"`
	Evacuate *Evacuate `cbor:"13,keyasint,omitempty"`
}

// ChangeConfig replaces sections if the configuration is still at revision
// Expected. It carries only the differences from that revision, because a whole
// configuration takes several megabytes at 18,000 callers. Its result is a
// message.ApplyReply.
type ChangeConfig struct {
	ChangeID string                       `cbor:"1,keyasint"`
	Operator string                       `cbor:"2,keyasint"`
	Comment  string                       `cbor:"3,keyasint"`
	Expected message.Revision             `cbor:"4,keyasint"`
	Set      map[string]map[string]string `cbor:"5,keyasint,omitempty"`
	Removed  []string                     `cbor:"6,keyasint,omitempty"`
	// Stale is set if the proposer was not at revision Expected and so could not
	// compute the differences. The result is then that of an earlier command with
	// the same change id, or a conflict.
	Stale bool `cbor:"7,keyasint,omitempty"`
}

// BeginCall records a call before it is dispatched to a backend server. Its result
// is a message.BeginCallReply or an error.
type BeginCall struct {
	Caller     string            `cbor:"1,keyasint"`
	Key        string            `cbor:"2,keyasint"`
	BodyDigest string            `cbor:"3,keyasint"`
	Request    message.RequestID `cbor:"4,keyasint"`
	Retention  time.Duration     `cbor:"5,keyasint"`
}

// FinishCall records the response of a call, or removes the record of the call if
// Release is set. Its result is a message.FinishCallReply or an error.
type FinishCall struct {
	Caller   string                   `cbor:"1,keyasint"`
	Key      string                   `cbor:"2,keyasint"`
	Request  message.RequestID        `cbor:"3,keyasint"`
	Release  bool                     `cbor:"4,keyasint,omitempty"`
	Response message.RecordedResponse `cbor:"5,keyasint,omitempty"`
}

// Lease acquires or renews the lease of a backend server. Its result is a
// message.LeaseReply or an error.
type Lease struct {
	BackendServer string              `cbor:"1,keyasint"`
	Host          string              `cbor:"2,keyasint"`
	Incarnation   message.Incarnation `cbor:"3,keyasint"`
	Duration      time.Duration       `cbor:"4,keyasint"`
	Renew         bool                `cbor:"5,keyasint,omitempty"`
}

// LoadSlot acquires or releases a slot for loading weights. Its result is a
// message.LoadSlotReply.
type LoadSlot struct {
	BackendServer string              `cbor:"1,keyasint"`
	Host          string              `cbor:"2,keyasint"`
	Incarnation   message.Incarnation `cbor:"3,keyasint"`
	Duration      time.Duration       `cbor:"4,keyasint"`
	Release       bool                `cbor:"5,keyasint,omitempty"`
}

// DeadHost marks a host dead because it sent no heartbeat within the timeout.
type DeadHost struct {
	Host        string              `cbor:"1,keyasint"`
	Incarnation message.Incarnation `cbor:"2,keyasint"`
}

// SetLeaving marks a host, a backend server or both as leaving, or clears the
// marks. Its result is a message.LeavingReply or an error.
type SetLeaving struct {
	Host          string `cbor:"1,keyasint,omitempty"`
	BackendServer string `cbor:"2,keyasint,omitempty"`
	Leaving       bool   `cbor:"3,keyasint,omitempty"`
	Operator      string `cbor:"4,keyasint,omitempty"`
}

// SetPlatformLeaving replaces the list of hosts that the platform reports as
// leaving. Its result is a message.LeavingReply or an error.
type SetPlatformLeaving struct {
	Leaving []string `cbor:"1,keyasint"`
}

// RecordCrash records a crash of a backend server with the digests of the requests
// in flight, and clears the digests of suspected requests that have succeeded. Its
// result is a message.CrashReply.
type RecordCrash struct {
	BackendServer string   `cbor:"1,keyasint"`
	CrashID       string   `cbor:"2,keyasint"`
	InFlight      []string `cbor:"3,keyasint,omitempty"`
	Cleared       []string `cbor:"4,keyasint,omitempty"`
}

// Evacuate starts or ends the evacuation of a failure domain if the domain's revision is
// still Base. Its result is a message.EvacuateReply or an error.
type Evacuate struct {
	Domain   string `cbor:"1,keyasint"`
	Evacuate bool   `cbor:"2,keyasint,omitempty"`
	Base     uint64 `cbor:"3,keyasint,omitempty"`
	Operator string `cbor:"4,keyasint,omitempty"`
}

// encoding is a deterministic CBOR mode, so that equal states have equal snapshots.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decoding is a CBOR mode whose limits admit the sections of a whole configuration
// in one map.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxMapPairs: 1 << 22, MaxArrayElements: 1 << 22}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodeCommand encodes a command for the replicated log.
func EncodeCommand(c *Command) ([]byte, error) {
	b, err := encoding.Marshal(c)
	return b, errors.Wrap(err, "encode command")
}
