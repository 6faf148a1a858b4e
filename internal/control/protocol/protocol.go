// Package protocol defines the messages between followers and publishers. The
// transport is HTTP/2 without TLS by net/http, full duplex on one request:
//
//	POST /v1/follow     the request's body is a sequence of CBOR records, FollowerMessage,
//	                    the first of which has a Hello; the response's body is a sequence of
//	                    PublisherMessage. It lasts until either side ends it.
//	POST /v1/versions   publishes a version (at the originator; others answer 409 and name it)
//	GET  /v1/version    the header of the version in force, as JSON
//	GET  /v1/followers  which version each follower has, and which of them lag, as JSON
//
// The publisher sends the versions that the follower lacks: deltas in order if its
// log reaches back to the version that Hello names by number and digest, else one
// snapshot. Then it sends deltas as versions come, and a Heartbeat each
// HeartbeatInterval. The follower answers each version that it applied or refused
// with an Ack. Nothing is queued for a follower: the publisher reads on in its log
// when the last write has been taken, and closes a stream that takes nothing for
// WriteTimeout.
package protocol

import (
	"encoding/hex"
	"fmt"
	"time"

	"kiteslip/internal/control/document"
)

// The paths.
const (
	PathFollow    = "/v1/follow"
	PathVersions  = "/v1/versions"
	PathVersion   = "/v1/version"
	PathFollowers = "/v1/followers"
)

// The times and bounds that both sides keep to.
const (
	HeartbeatInterval = time.Second             // between two heartbeats
	PublisherTimeout  = 2500 * time.Millisecond // a publisher that sends nothing for so long is replaced by another
	OriginatorTimeout = 2500 * time.Millisecond // ... as is one that has not heard the originator for so long, if another one has
	WriteTimeout      = 2 * time.Second         // a stream that takes nothing for so long is closed
	MaxMessageBytes   = document.MaxRecordBytes // of an encoded delta or snapshot, and of a body with a version
)

// Hello is the first message of a follower.
type Hello struct {
	Name      string          `cbor:"1,keyasint"`
	Region    string          `cbor:"2,keyasint"`
	Publisher bool            `cbor:"3,keyasint,omitempty"` // it is a control machine
	Number    uint64          `cbor:"4,keyasint"`           // of the version in force there; 0 = none
	Digest    document.Digest `cbor:"5,keyasint"`
}

// Ack reports what became of a version.
type Ack struct {
	Number        uint64          `cbor:"1,keyasint"` // in force there now
	Digest        document.Digest `cbor:"2,keyasint"`
	RefusalReason string          `cbor:"3,keyasint,omitempty"` // why the version sent last is not in force
	Fork          bool            `cbor:"4,keyasint,omitempty"` // ... because another has its number
	Leaving       bool            `cbor:"5,keyasint,omitempty"` // the server is shutting down: it applies no more versions
}

// FollowerMessage has exactly one of its fields.
type FollowerMessage struct {
	Hello *Hello `cbor:"1,keyasint,omitempty"`
	Ack   *Ack   `cbor:"2,keyasint,omitempty"`
}

// Heartbeat shows that the publisher is alive.
type Heartbeat struct {
	Number              uint64          `cbor:"1,keyasint"` // in force at the publisher
	Digest              document.Digest `cbor:"2,keyasint"`
	OriginatorSilenceMS int64           `cbor:"3,keyasint,omitempty"` // since it last heard the originator; 0 at the originator
}

// PublisherMessage has exactly one of its fields.
type PublisherMessage struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Delta     []byte     `cbor:"2,keyasint,omitempty"` // by Delta.Encode
	Snapshot  []byte     `cbor:"3,keyasint,omitempty"` // by Document.Snapshot
}

// Follower is one line of GET /v1/followers.
type Follower struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	Publisher     bool   `json:"publisher,omitempty"`
	Number        uint64 `json:"version"`
	Digest        string `json:"digest"` // its first 12 hex digits
	LagMS         int64  `json:"lag_ms"` // since a version that it does not have came into force here; 0 = current
	RefusalReason string `json:"refused,omitempty"`
	Fork          bool   `json:"fork,omitempty"`
	Leaving       bool   `json:"leaving,omitempty"` // it is shutting down: it does not lag
	Connected     bool   `json:"connected"`
	LastSeenAgoMS int64  `json:"seen_ms"` // since its last message
}

// Version is the answer to GET /v1/version and to POST /v1/versions.
type Version struct {
	Number              uint64 `json:"version"`
	Digest              string `json:"digest"` // 64 hex digits, as Parent and Content
	Parent              string `json:"parent"`
	Content             string `json:"content"`
	Author              string `json:"author"`
	Reason              string `json:"reason"`
	TimeUS              int64  `json:"time_us"` // when it was accepted, Unix microseconds
	PublisherName       string `json:"name"`    // of the control machine that answers
	PublisherRegion     string `json:"region"`
	Originator          string `json:"originator,omitempty"` // where versions are published; "" = here
	OriginatorSilenceMS int64  `json:"unheard_ms"`           // since the originator was last heard; 0 at the originator
	Oldest              uint64 `json:"oldest"`               // the log reaches back to this version
	Followers           int    `json:"followers"`            // connected
	Forks               int    `json:"forks"`                // seen since the start
	DiskError           string `json:"disk,omitempty"`       // why the log cannot be written
}

// ParseDigest decodes Digest.
func (v *Version) ParseDigest() (document.Digest, error) {
	b, err := hex.DecodeString(v.Digest)
	if err != nil || len(b) != len(document.Digest{}) {
		return document.Digest{}, fmt.Errorf("protocol: invalid digest %.80q", v.Digest)
	}
	return document.Digest(b), nil
}

// ErrorResponse is the answer to a request that was refused.
type ErrorResponse struct {
	Code       string   `json:"code"`                 // one of the codes below
	Faults     []string `json:"faults"`               // all of them
	Originator string   `json:"originator,omitempty"` // where to publish instead
}

// The codes of a refusal.
const (
	CodeInvalid       = "faults"         // 400: the request is invalid
	CodeNotOriginator = "not_originator" // 409: another machine accepts versions
	CodeBaseMismatch  = "base"           // 409: the base is not the version in force
	CodeNoChange      = "same"           // 409: nothing differs from the version in force
	CodeDiskFailed    = "disk"           // 503: the log cannot be written
	CodeBusy          = "busy"           // 503: too many are served at once
)
