package fleet

import (
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/roster"
)

// ServiceName is the net/rpc service of the control members.
const ServiceName = "Fleet"

// Stamp names one state of a member's list of backend servers. Number counts
// changes of the servers and their leaving marks, Loads those of loads as well.
type Stamp struct {
	Source        string
	Number, Loads uint64
}

// WatchRequest asks for what is newer than the sender's copy. The reply comes
// when there is something newer, or after Wait.
type WatchRequest struct {
	Version uint64
	List    Stamp
	Wait    time.Duration
	// Lazy watches are not answered early for changed loads.
	Lazy bool
}

// WatchReply carries what is newer. Ages are as of the making of the reply,
// which was Held after the request arrived.
type WatchReply struct {
	Version uint64
	// Document is the compressed document, nil when it is not newer.
	Document []byte
	// Confirmed tells that a quorum confirmed Version, ConfirmedAge ago.
	Confirmed    bool
	ConfirmedAge time.Duration
	Held         time.Duration
	// HasList tells that the list was read, ListAge ago. Servers is nil when
	// the list has the stamp of the request.
	HasList bool
	List    Stamp
	ListAge time.Duration
	Servers []backend.Server
	Reports map[string]backend.Report
	// Quarantine holds the requests that are suspected of crashing backend
	// servers; like Servers it is sent when the stamp differs.
	Quarantine []message.Quarantine
	// Members and Leader are peer addresses of the control group.
	Members []string
	Leader  string
	// FailureDomain is that of the member that answers.
	FailureDomain string
}

// PutRequest publishes a document.
type PutRequest struct{ Document []byte }

// PutReply names the version in force afterwards.
type PutReply struct{ Version uint64 }

// ReadRequest asks for the newest document.
type ReadRequest struct{}

// ReadReply holds it, compressed.
type ReadReply struct {
	Version  uint64
	Document []byte
}

// JoinRequest asks to become a member. Nonce is drawn once for each data
// folder, so that a repeated request gets the same id.
type JoinRequest struct {
	Address string
	Nonce   string
}

// JoinReply carries the id, or the leader to ask instead.
type JoinReply struct {
	ID     consensus.MemberID
	Leader string
}

// LeaveRequest tells that a member was told to stop.
type LeaveRequest struct{ ID consensus.MemberID }

// LeaveReply tells what the member does.
type LeaveReply struct{ Departure roster.Departure }

// ReportRequest is an observation made beside a backend server.
type ReportRequest struct{ Report backend.Report }

// CrashRequest tells of requests that were under way when their backend server
// crashed, and of suspected ones that succeeded.
type CrashRequest struct {
	Crashes []Crash
	Cleared []string
}

// Crash is one request, by digest, at the crash of one start of a server.
type Crash struct {
	Server, Digest string
	// SentAgo and CrashedAgo are as of the sending of the report.
	SentAgo, CrashedAgo time.Duration
}

// ReportReply names the leader when the report was sent to another member.
type ReportReply struct{ Leader string }
