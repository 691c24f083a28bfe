package fleet

import (
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/quarantine"
	"arbutusmast.example/arbutusmast/core/roster"
	"arbutusmast.example/arbutusmast/core/serverlimit"
)

// ServiceName is the net/rpc service of the control members.
const ServiceName = "Fleet"

// Stamp identifies one state of a member's list of backend servers. Source identifies
// the leader that made the list. Number counts changes of the servers and their
// leaving marks, Loads those of loads.
type Stamp struct {
	Source        string
	Number, Loads uint64
}

// WatchRequest is a long poll for data that are newer than the sender's copy. The
// reply is sent when there are newer data, or after Wait.
type WatchRequest struct {
	Version uint64
	List    Stamp
	Wait    time.Duration
	// Lazy watches get no early reply for changed loads, and the loads only without Wait.
	Lazy bool
	// WantsEvacuations is set by daemons that know Evacuations, the revision of the set of evacuated
	// failure domains.
	WantsEvacuations bool
	Evacuations      uint64
	// AcceptsUnconfirmed is set by daemons that have waited for a confirmed desired state in vain.
	AcceptsUnconfirmed bool
	// LeaderOnly watches get nothing but the members, the leader and the evacuations.
	LeaderOnly bool
	// Entry is the name of an entry, which gets only the loads of the servers that it places
	// requests on. Others get all.
	Entry string
	// WantsLimits is set by daemons that know Limits, the stamp of the limits of
	// backend servers.
	WantsLimits bool
	Limits      Stamp
	// WantsParts is set by daemons that know Parts, the stamp of the parts of prompts that
	// may crash backend servers.
	WantsParts bool
	Parts      Stamp
	// WantsStandings is set by daemons that know Standings, the stamp of what is known of
	// backend servers that fail.
	WantsStandings bool
	Standings      Stamp
	// WantsTight is set by daemons that know Tight, the stamp of the services that are tight.
	WantsTight bool
	Tight      Stamp
}

// WatchReply holds the newer data. Ages are as of the time at which the reply was made,
// which is Held after the request arrived.
type WatchReply struct {
	Version uint64
	// Document is the compressed document, nil if it is not newer.
	Document []byte
	// Confirmed is set if a quorum confirmed Version, ConfirmedAge ago.
	Confirmed    bool
	ConfirmedAge time.Duration
	Held         time.Duration
	// HasList is set if the member has a list, which was read ListAge ago.
	HasList bool
	List    Stamp
	ListAge time.Duration
	// Servers are the servers that changed after the stamp of the request, with the leaving
	// marks of the reports, and RemovedServers the ids of those that are gone. With AllServers,
	// Servers are all.
	AllServers     bool
	Servers        []backend.Server
	RemovedServers []string
	// Reports and RemovedReports, the latter with addresses, do the same for loads.
	AllLoads       bool
	Reports        []backend.Report
	RemovedReports []string
	// Quarantine holds the requests that are suspected of crashing backend servers. It is
	// sent if the stamp's Number differs.
	Quarantine []message.Quarantine
	// Limits are the limits that backend servers named, by server id. They are set
	// together with HasLimits if LimitsStamp differs from that of the request.
	HasLimits   bool
	LimitsStamp Stamp
	Limits      map[string]serverlimit.Age
	// Parts are what is known of parts of prompts, with times relative to the reply. They
	// are set together with HasParts if PartsStamp differs from that of the request.
	HasParts   bool
	PartsStamp Stamp
	Parts      []quarantine.PartStatus
	// Standings are the backend servers that are not sound. They are set together with
	// HasStandings if StandingsStamp differs from that of the request.
	HasStandings   bool
	StandingsStamp Stamp
	Standings      []ServiceStandings
	// Tight are the services whose memory is nearly used up. They are set together with HasTight
	// if TightStamp differs from that of the request.
	HasTight   bool
	TightStamp Stamp
	Tight      []string
	// Evacuations are the failure domains that orders named, with the revision of the set. They are
	// set together with HasEvacuations if the revision is above that of the request.
	HasEvacuations     bool
	EvacuationRevision uint64
	Evacuations        []failuredomain.Status
	// Members and Leader are peer addresses of the control group.
	Members []string
	Leader  string
	// FailureDomain is the failure domain of the member that replies.
	FailureDomain string
}

// PutRequest publishes a document.
type PutRequest struct{ Document []byte }

// PutReply holds the version in force afterwards.
type PutReply struct{ Version uint64 }

// ReadRequest asks for the newest document.
type ReadRequest struct{}

// ReadReply holds the newest document in compressed form.
type ReadReply struct{ Document []byte }

// JoinRequest asks to become a member. Nonce is generated once per join, so that a repeated
// request gets the same id.
type JoinRequest struct {
	Address string
	Nonce   string
}

// JoinReply holds the assigned id, or the leader to ask instead.
type JoinReply struct {
	ID     consensus.MemberID
	Leader string
}

// LeaveRequest asks to remove a member whose process stops.
type LeaveRequest struct{ ID consensus.MemberID }

// LeaveReply holds the decision about the member.
type LeaveReply struct{ Departure roster.Departure }

// ReportRequest holds a report from a backend server's host.
type ReportRequest struct{ Report backend.Report }

// ClockReading is what SinceBoot returned in a process of the control group.
type ClockReading struct {
	Process string
	At      time.Duration
}

// ClockRequest asks the leader for a reading of its clock.
type ClockRequest struct{}

// ClockReply holds a reading of the leader's clock. Other members than the leader return its
// address instead.
type ClockReply struct {
	Reading ClockReading
	Leader  string
}

// CrashRequest reports requests that were in flight when their backend server crashed,
// and the digests of suspected requests that succeeded.
type CrashRequest struct {
	// Reading is the reading of the leader's clock at which the ages in the report were
	// true, so that the time of its delivery does not matter.
	Reading ClockReading
	Crashes []Crash
	Cleared []string
	// PartCrashes and PartsBegun hold ages instead of times.
	PartCrashes []quarantine.PartCrash
	PartsBegun  []PartBegun
	// HeldParts are parts that the sender holds back and the leader does not know, with
	// times relative to the reading.
	HeldParts []quarantine.PartStatus
}

// PartBegun reports that an answer began on a part of a prompt.
type PartBegun struct {
	Part              string
	SentAgo, BegunAgo time.Duration
}

// Crash is one request, by its digest, that was in flight when a backend server crashed.
type Crash struct {
	// Server is the id of the server, which may start again under the same one.
	Server, Digest string
	// SentAgo is the age of the request and CrashedAgo that of the crash.
	SentAgo, CrashedAgo time.Duration
}

// PermitRequest asks the leader for permits.
type PermitRequest struct{ Request serverlimit.Request }

// PermitReply holds the reply if Decided is set. Else the request was sent to another
// member than the leader, and Leader is the leader if the member knows one.
type PermitReply struct {
	Decided bool
	Reply   serverlimit.Reply
	Leader  string
}

// ReportReply holds the leader if the report was sent to another member.
type ReportReply struct{ Leader string }
