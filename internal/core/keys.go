package core

import (
	"crypto/sha256"
	"encoding/binary"

	"kiteslip"
)

// During an upgrade two processes serve together, and only one of them, the key
// owner, decides which keyed runs may start. This file has both roles;
// docs/design.md has the full table.

// Peer is the other process of an upgrade.
type Peer interface {
	Claim(id uint32, class int, key string, arrived int64, bodyHash uint64) // may this request start? Answered by Granted or Denied
	Grant(id uint32)                                                        // answers Claimed: it may start
	Deny(id uint32, outcome kiteslip.Outcome, result []byte)                // answers Claimed: it may not; the outcome of its key
	RunEnded(class int, key string, arrived int64, outcome kiteslip.Outcome, result []byte)
}

// Record is a key whose run was started.
type Record struct {
	Class              int
	Key                string
	Arrived, WindowEnd int64
	BodyHash           uint64
	Finished           bool
	Outcome            kiteslip.Outcome
	Result             []byte
	TryID              string // of the try that was started
	Deadline           int64
	OutcomeUnknown     bool // it was started by an earlier process, and its outcome is unknown
}

// keyRole says what this process may decide about keyed runs.
type keyRole uint8

// The roles. A process starts as the owner; ReleaseKeys makes it a claimant,
// BeginAcquire an acquirer, and AcquireKeys the owner again.
const (
	keyOwner    keyRole = iota // it decides which keyed runs may start
	keyClaimant                // it claims each keyed run from the peer; without a peer its keyed requests fail
	keyAcquirer                // the keys were transferred to it, and it can't decide yet: its own keyed requests fail, the peer's claims wait
)

// maxClaimsPerRun limits the peer's claims that wait for one run.
const maxClaimsPerRun = 1024

// hashBody must give the same value in every process.
func hashBody(body []byte) uint64 {
	bodyHash := sha256.Sum256(body)
	return binary.BigEndian.Uint64(bodyHash[:])
}

// BeginAcquire says that peer has transferred the keys to this process, which can't
// decide about them yet, for instance because it opens its key store. Claims of peer
// wait until AcquireKeys, AbandonAcquire or PeerLost, at most until no caller can
// wait for them.
func (c *Core) BeginAcquire(peer Peer) { c.role, c.peer = keyAcquirer, peer }

// AbandonAcquire says that this process can't acquire the keys: claims that wait fail.
func (c *Core) AbandonAcquire() {
	c.failWaitingClaims()
	c.role, c.peer = keyClaimant, nil
}

// AcquireKeys makes this process the key owner. Keyed requests that arrived by
// inDoubtUntil may have been run by an earlier process without a record here; 0 =
// there are none.
func (c *Core) AcquireKeys(inDoubtUntil int64) {
	c.role, c.inDoubtUntil = keyOwner, inDoubtUntil
	c.answerWaitingClaims()
}

// OwnsKeys reports whether this process is the key owner.
func (c *Core) OwnsKeys() bool { return c.role == keyOwner }

// ReleaseKeys gives up the ownership: from now on keyed runs start only if peer
// grants them; nil = there is no peer to ask. It returns the end of the in-doubt
// period, for the next owner.
func (c *Core) ReleaseKeys(peer Peer) (inDoubtUntil int64) {
	for _, r := range c.tracked {
		if r.phase == queued {
			c.deleteRecord(r) // the next owner records it when it is claimed
		}
	}
	c.role, c.peer = keyClaimant, peer
	return c.inDoubtUntil
}

// SetPeer sets the peer, which sends claims to this process.
func (c *Core) SetPeer(peer Peer) {
	c.peer = peer
	c.answerWaitingClaims()
}

// MaxWindow returns the longest window of any class, with the margin.
func (c *Core) MaxWindow() int64 {
	window := int64(0)
	for i := range c.settings.Policy.Classes {
		window = max(window, c.settings.Policy.Classes[i].Window)
	}
	return window + keyMarginUS
}

// Records yields the keys whose runs were started.
func (c *Core) Records(yield func(Record) bool) {
	for _, e := range c.keyTable {
		if r := e.started; r != nil && c.keyed(r.Class) && !yield(Record{r.Class, r.Key, r.Arrived, e.windowEnd, r.bodyHash,
			r.phase != running, r.outcome, r.result, r.TryID, r.Deadline, r.outcomeUnknown}) {
			return
		}
	}
}

// keyed reports whether a class is keyed.
func (c *Core) keyed(class int) bool {
	return c.settings.Policy.Classes[class].Effect == kiteslip.Keyed
}

// ImportRecord enters a key that another process has started. An entry here with
// as long a window is kept, and the window is at least as long as the settings
// here say. If the outcome is not known yet, the run may still be in progress at
// the engine: it is returned and ends with Done. Otherwise nil is returned.
func (c *Core) ImportRecord(rec Record) *Request {
	rec.WindowEnd = max(rec.WindowEnd, rec.Arrived+c.settings.Policy.Classes[rec.Class].Window+keyMarginUS)
	if e := c.keyTable[entryName(rec.Class, rec.Key)]; e != nil && e.started != nil && e.windowEnd >= rec.WindowEnd {
		return nil
	}
	r := c.addRemoteRun(rec.Class, rec.Key, rec.Arrived, rec.WindowEnd, rec.BodyHash)
	r.TryID, r.Deadline, r.outcomeUnknown = rec.TryID, rec.Deadline, rec.OutcomeUnknown
	if rec.Finished {
		r.phase, r.outcome, r.result = ended, rec.Outcome, rec.Result
		return nil
	}
	return r
}

// addRemoteRun enters a run of another process.
func (c *Core) addRemoteRun(class int, key string, arrived, windowEnd int64, bodyHash uint64) *Request {
	c.nextID++ // the policy identifies a duplicate by the ID of its original
	r := &Request{Class: class, Key: key, Arrived: arrived, entry: entryName(class, key), id: c.nextID, bodyHash: bodyHash,
		answered: true, phase: running, startedAt: arrived, remote: true}
	e := c.keyTable[r.entry]
	if e == nil {
		e = &keyEntry{holder: r, duplicatesUntil: windowEnd}
		c.keyTable[r.entry] = e
	}
	e.started, e.windowEnd = r, windowEnd
	return r
}

// inDoubt reports whether another process may have run the key of a request that
// arrived then, and there is no peer to ask.
func (c *Core) inDoubt(arrived int64) bool {
	switch c.role {
	case keyOwner:
		return arrived <= c.inDoubtUntil
	case keyAcquirer:
		return true
	default:
		return c.peer == nil
	}
}

// Granted starts a claimed request, unless it was answered meanwhile.
func (c *Core) Granted(now int64, id uint32) {
	r := c.awaitingStart[kiteslip.RequestID(id)]
	if r == nil {
		return
	}
	delete(c.awaitingStart, r.id)
	if r.answered {
		c.endUnstarted(r, kiteslip.NotStarted, nil)
		if c.role == keyClaimant && c.peer != nil {
			c.peer.RunEnded(r.Class, r.Key, r.Arrived, kiteslip.NotStarted, nil)
		}
		return
	}
	r.startedAt = now
	c.runner.Run(r)
}

// Denied ends a claimed request that may not start.
func (c *Core) Denied(id uint32, outcome kiteslip.Outcome, result []byte) {
	if r := c.awaitingStart[kiteslip.RequestID(id)]; r != nil {
		delete(c.awaitingStart, r.id)
		c.endUnstarted(r, outcome, result)
	}
}

// releaseRunningSlot frees the running slot of an answered request that was only
// claimed. Otherwise a key owner that is silent would keep it occupied.
func (c *Core) releaseRunningSlot(r *Request) {
	if c.awaitingStart[r.id] != nil {
		c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: kiteslip.NotStarted})
	}
}

// endUnstarted ends a request that never started here with the outcome of its
// key. The policy is told NotStarted: a run of no duration would distort its means.
func (c *Core) endUnstarted(r *Request, outcome kiteslip.Outcome, result []byte) {
	r.phase, r.outcome, r.result = ended, outcome, result
	c.markChanged(r)
	if outcome != kiteslip.OK {
		r.outcome = kiteslip.Failed // another try may have run, so it is not refused
	}
	if e := c.keyTable[r.entry]; outcome == kiteslip.NotStarted && e != nil && e.started == r {
		e.started, e.windowEnd = nil, 0
		c.deleteRecord(r)
	}
	c.completeAs(r, 0, kiteslip.NotStarted)
}

// PeerRunEnded handles the end of a run of the peer.
func (c *Core) PeerRunEnded(class int, key string, arrived int64, outcome kiteslip.Outcome, result []byte) {
	if e := c.keyTable[entryName(class, key)]; e != nil && e.started != nil && e.started.remote && e.started.Arrived == arrived {
		c.Done(e.started, outcome, 0, result)
	}
}

// PeerLost reports that the peer is disconnected or silent. Its runs end without a
// result, claims that it has not answered fail, and its own claims are forgotten: a
// later peer numbers its requests anew.
func (c *Core) PeerLost() {
	c.peer = nil
	for _, e := range c.keyTable {
		if e.started == nil {
			continue
		}
		e.started.peerClaims = nil
		if e.started.remote && e.started.phase == running {
			c.Done(e.started, kiteslip.Failed, 0, nil)
		}
	}
	clear(c.pendingGrants)
	c.waitingClaims = nil
	if c.OwnsKeys() {
		return // requests in awaitingStart wait for this process's own journal
	}
	for id, r := range c.awaitingStart {
		delete(c.awaitingStart, id)
		c.endUnstarted(r, kiteslip.Failed, nil)
	}
}

// notifyPeer reports the outcome of a keyed run to the peer if that owns the keys,
// and answers the claims that awaited it.
func (c *Core) notifyPeer(r *Request) {
	if c.peer == nil {
		return
	}
	if c.role == keyClaimant && !r.remote && c.keyed(r.Class) {
		c.peer.RunEnded(r.Class, r.Key, r.Arrived, r.outcome, r.result)
	}
	for _, id := range r.peerClaims {
		outcome := r.outcome
		if outcome == kiteslip.NotStarted {
			outcome = kiteslip.Failed
		}
		c.peer.Deny(id, outcome, r.result)
	}
	r.peerClaims = nil
}

// HandedOver reports that another process has taken over: this one is stopped at
// stop and answers what it has read until then.
func (c *Core) HandedOver(stop int64) {
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Handover, Deadline: stop})
}

// SetPeerLoad sets the peer's load on the shared engine.
func (c *Core) SetPeerLoad(runs int, sizeKB float64) {
	if c.pools != nil {
		c.pools.SetPeerLoad(c.now, runs)
	}
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.PeerLoad, Runs: runs, SizeKB: sizeKB})
}

// KeyedRuns returns the number of keyed requests that run here or are about to.
func (c *Core) KeyedRuns() int {
	n := 0
	for _, r := range c.tracked {
		if r.phase == running && c.keyed(r.Class) {
			n++
		}
	}
	return n
}

// EngineLoad returns the number of requests that run here and the memory reserved
// for all tracked requests.
func (c *Core) EngineLoad() (runs int, sizeKB float64) {
	for _, r := range c.tracked {
		if r.phase == running && c.awaitingStart[r.id] == nil {
			runs++
			sizeKB += r.SizeKB * max(1, c.settings.Policy.RunFactor)
		} else if r.phase == paused {
			sizeKB += r.SizeKB * max(1, c.settings.Policy.RunFactor)
		} else if !r.answered {
			sizeKB += r.SizeKB
		}
	}
	return runs, sizeKB
}
