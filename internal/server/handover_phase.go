package server

import "kiteslip/internal/handover"

// handoverPhase is how far the handover of the keys has come on one connection to
// the peer, as seen by this process.
type handoverPhase uint8

// The phases. To the predecessor they follow one another as receivingKeys,
// acquiringKeys, owningKeys, with withoutKeys in place of the last where this process
// can't own the keys; to a successor as awaitingHello, awaitingTurn, sendingKeys,
// keysSent.
const (
	receivingKeys handoverPhase = iota // Hello was sent, and the records of the keys arrive
	acquiringKeys                      // all keys have arrived, and the key store opens: claims wait
	owningKeys                         // this process answers claims
	withoutKeys                        // another process has the lock, or the store failed to open: claims are denied

	awaitingHello // the successor has connected
	awaitingTurn  // it has asked for the keys, which this process does not own yet or shares with another peer
	sendingKeys   // the key store is being closed, or the records are being sent
	keysSent      // the successor acquires the keys or owns them, and answers claims

	handoverPhases int = iota
)

// kindSet is a set of message kinds, by bit.
type kindSet uint16

// kinds returns the set of the given kinds.
func kinds(list ...handover.Kind) kindSet {
	set := kindSet(0)
	for _, kind := range list {
		set |= 1 << kind
	}
	return set
}

// acceptedKinds holds the messages that the peer may send in each phase. Any other
// one ends the connection.
var acceptedKinds = [handoverPhases]kindSet{
	receivingKeys: kinds(handover.Record, handover.KeysTransferred, handover.Load),
	acquiringKeys: kinds(handover.Claim, handover.RunEnded, handover.Load),
	owningKeys:    kinds(handover.Claim, handover.RunEnded, handover.Load),
	withoutKeys:   kinds(handover.Claim, handover.RunEnded, handover.Load),
	awaitingHello: kinds(handover.Hello),
	awaitingTurn:  kinds(handover.Load),
	sendingKeys:   kinds(handover.Load),
	keysSent:      kinds(handover.Grant, handover.Deny, handover.Load),
}

// accepts reports whether the peer may send a message of that kind in this phase.
func (p handoverPhase) accepts(kind handover.Kind) bool { return acceptedKinds[p]&(1<<kind) != 0 }
