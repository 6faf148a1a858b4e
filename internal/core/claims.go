package core

import "kiteslip"

// maxWaitingClaims limits the peer's claims that wait for this process to own the
// keys. The peer has at most as many open as it has running slots, unless its
// callers give up many of them.
const maxWaitingClaims = 4096

// claim is a request of the peer to start a keyed run.
type claim struct {
	id        uint32 // the peer's
	class     int
	key       string
	arrived   int64
	bodyHash  uint64
	expiresAt int64 // no caller waits for its answer after that
}

// Claimed handles a claim of the peer, which asks the key owner to start a run. It
// is answered at once where this process owns the keys, and fails where the peer
// does. Otherwise it waits until it is known who owns them.
func (c *Core) Claimed(id uint32, class int, key string, arrived int64, bodyHash uint64) {
	cl := claim{id, class, key, arrived, bodyHash, arrived + MaxWaitMultiple*c.settings.Policy.Classes[class].Timeout}
	switch {
	case c.role == keyOwner && c.peer != nil:
		c.answerClaim(cl)
	case c.role == keyClaimant && c.peer != nil:
		c.peer.Deny(id, kiteslip.Failed, nil)
	case len(c.waitingClaims) < maxWaitingClaims:
		c.waitingClaims = append(c.waitingClaims, cl)
	case c.peer != nil:
		c.peer.Deny(id, kiteslip.Failed, nil)
	}
}

// answerClaim answers a claim as the key owner, or once the run that its key waits
// for has ended or its start is recorded.
func (c *Core) answerClaim(cl claim) {
	e := c.keyTable[entryName(cl.class, cl.key)]
	switch {
	case !c.keyed(cl.class):
		c.peer.Deny(cl.id, kiteslip.Failed, nil)
	case e != nil && e.started != nil && (cl.arrived <= max(e.windowEnd, e.duplicatesUntil) || e.started.phase == running && e.started.bodyHash == cl.bodyHash):
		switch r := e.started; {
		case r.bodyHash != cl.bodyHash || r.phase == running && len(r.peerClaims) >= maxClaimsPerRun:
			c.peer.Deny(cl.id, kiteslip.Failed, nil)
		case r.phase == running || r.recordingEnd:
			r.peerClaims = append(r.peerClaims, cl.id)
		default:
			c.peer.Deny(cl.id, r.outcome, r.result)
		}
	case c.inDoubt(cl.arrived) || e != nil && e.holder != nil && e.holder.phase == queued && !e.holder.answered && e.holder.bodyHash != cl.bodyHash:
		c.peer.Deny(cl.id, kiteslip.Failed, nil)
	default:
		r := c.addRemoteRun(cl.class, cl.key, cl.arrived, cl.arrived+c.settings.Policy.Classes[cl.class].Window+keyMarginUS, cl.bodyHash)
		if c.journal != nil {
			c.pendingGrants[r.id] = pendingGrant{r, cl.id}
			c.recordStart(r)
			return
		}
		c.peer.Grant(cl.id)
	}
}

// answerWaitingClaims answers the claims that waited, in the order of their arrival,
// once this process owns the keys and knows the peer.
func (c *Core) answerWaitingClaims() {
	if c.role != keyOwner || c.peer == nil {
		return
	}
	waiting := c.waitingClaims
	c.waitingClaims = nil
	for _, cl := range waiting {
		c.answerClaim(cl)
	}
}

// failWaitingClaims fails the claims that wait. Without a peer nobody is told: they
// fail at the process that sent them when they are due.
func (c *Core) failWaitingClaims() {
	if c.peer != nil {
		for _, cl := range c.waitingClaims {
			c.peer.Deny(cl.id, kiteslip.Failed, nil)
		}
	}
	c.waitingClaims = nil
}

// expireClaims drops the claims for whose answer nobody waits any more, and denies
// them so that their requests can end at the peer.
func (c *Core) expireClaims(now int64) {
	kept := c.waitingClaims[:0]
	for _, cl := range c.waitingClaims {
		if now <= cl.expiresAt {
			kept = append(kept, cl)
		} else if c.peer != nil {
			c.peer.Deny(cl.id, kiteslip.Failed, nil)
		}
	}
	clear(c.waitingClaims[len(kept):])
	c.waitingClaims = kept
}
