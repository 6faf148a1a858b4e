// Package protocol is what a follower and a publisher say to each other, as
// values. The transport is HTTP/2 without TLS by net/http, full duplex on one
// request:
//
//	POST /v1/follow     the request's body is a sequence of CBOR records, FromFollower,
//	                    the first of which has Hello; the answer's body is one of
//	                    FromPublisher. It goes on until either ends it.
//	POST /v1/versions   publishes (to the originator; others answer 409 and name it)
//	GET  /v1/version    the header in force, as JSON
//	GET  /v1/followers  who is on which version and who lags, as JSON
//
// The publisher sends what the follower lacks: deltas in order while its log
// reaches back to the version that Hello names by number and digest, else one
// snapshot. Then it sends deltas as versions come, and a Beat each BeatEvery. The
// follower answers each version that it took over, or refused, with an Ack.
// Nothing is queued for a follower: the publisher's side reads on in its log when
// the last write has been taken, and one that takes nothing for WriteWithin is cut off.
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

// The times that both sides keep to.
const (
	HeartbeatInterval = time.Second             // between two beats while nothing else is sent
	PublisherTimeout  = 2500 * time.Millisecond // a publisher that says nothing for so long is left for another
	OriginatorTimeout = 2500 * time.Millisecond // ... as is one that has not heard the originator for so long, where another has
	WriteTimeout      = 2 * time.Second         // a follower that takes nothing for so long is cut off
	MaxMessageBytes   = document.MaxRecordBytes // bytes of one record
)

// Hello is the first thing that a follower says.
type Hello struct {
	Name      string          `cbor:"1,keyasint"`
	Region    string          `cbor:"2,keyasint"`
	Publisher bool            `cbor:"3,keyasint,omitempty"` // it is one of the control machines
	Number    uint64          `cbor:"4,keyasint"`           // of the version in force there; 0 = none
	Digest    document.Digest `cbor:"5,keyasint"`
}

// Ack says what became of a version.
type Ack struct {
	Number        uint64          `cbor:"1,keyasint"` // in force there now
	Digest        document.Digest `cbor:"2,keyasint"`
	RefusalReason string          `cbor:"3,keyasint,omitempty"` // why the version sent last is not in force
	Fork          bool            `cbor:"4,keyasint,omitempty"` // ... because another has its number
	Leaving       bool            `cbor:"5,keyasint,omitempty"` // the server leaves: it takes no more
}

// FollowerMessage has one of its parts.
type FollowerMessage struct {
	Hello *Hello `cbor:"1,keyasint,omitempty"`
	Ack   *Ack   `cbor:"2,keyasint,omitempty"`
}

// Heartbeat says that the publisher is there.
type Heartbeat struct {
	Number              uint64          `cbor:"1,keyasint"` // in force at the publisher
	Digest              document.Digest `cbor:"2,keyasint"`
	OriginatorSilenceMS int64           `cbor:"3,keyasint,omitempty"` // milliseconds since it last heard the originator; 0 at the originator
}

// PublisherMessage has one of its parts.
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
	LagMS         int64  `json:"lag_ms"` // since a version that it is not on came into force here; 0 = current
	RefusalReason string `json:"refused,omitempty"`
	Fork          bool   `json:"fork,omitempty"`
	Leaving       bool   `json:"leaving,omitempty"` // it said that it leaves: it does not lag
	Connected     bool   `json:"connected"`
	LastSeenAgoMS int64  `json:"seen_ms"` // since it last said anything
}

// Version is GET /v1/version, and the answer to what was published.
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
	OriginatorSilenceMS int64  `json:"unheard_ms"`           // since the originator was heard; 0 at the originator
	Oldest              uint64 `json:"oldest"`               // the log reaches back to this version
	Followers           int    `json:"followers"`            // connected
	Forks               int    `json:"forks"`                // seen since the start
	DiskError           string `json:"disk,omitempty"`       // why the log cannot be written
}

// ParseDigest reads Digest.
func (v *Version) ParseDigest() (document.Digest, error) {
	b, err := hex.DecodeString(v.Digest)
	if err != nil || len(b) != len(document.Digest{}) {
		return document.Digest{}, fmt.Errorf("protocol: a digest of %.80q", v.Digest)
	}
	return document.Digest(b), nil
}

// ErrorResponse is the answer to what was not done.
type ErrorResponse struct {
	Code       string   `json:"code"`                 // one of the codes below
	Faults     []string `json:"faults"`               // all of them
	Originator string   `json:"originator,omitempty"` // where to publish instead
}

// The codes of a refusal.
const (
	CodeInvalid       = "faults"         // 400: what was sent is faulty
	CodeNotOriginator = "not_originator" // 409: another machine accepts versions
	CodeBaseMismatch  = "base"           // 409: the base named is not in force
	CodeNoChange      = "same"           // 409: nothing differs from what is in force
	CodeDiskFailed    = "disk"           // 503: the log cannot be written
	CodeBusy          = "busy"           // 503: as many are served as are allowed
)
