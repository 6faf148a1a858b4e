package publish

import (
	"context"
	"errors"

	"kiteslip/internal/control/document"
)

// Publisher is one control machine.
type Publisher struct{ set Settings }

// Open reads the log that the folder keeps. What was accepted before a crash is there.
func Open(set Settings) (*Publisher, error) { return nil, errors.New("publish: not built yet") }

// Serve listens and serves until ctx ends.
func (p *Publisher) Serve(ctx context.Context) error { return nil }

// Publish makes a version of the changes, at the originator alone: it is in force
// there, and on its disk, when Publish returns. base, if not zero, must be the
// digest in force.
func (p *Publisher) Publish(changes []document.Change, by document.Meta, base document.Digest) (document.Header, error) {
	return document.Header{}, errors.New("publish: not built yet")
}

// Document is the version in force here.
func (p *Publisher) Document() *document.Document { return document.Empty() }

// Client publishes over the network.
type Client struct{ Address string }

// File publishes a whole operator's file: its teams, services and pools. The
// originator makes the changes of it.
func (c *Client) File(ctx context.Context, text []byte, by document.Meta, base document.Digest) (document.Header, error) {
	return document.Header{}, errors.New("publish: not built yet")
}

// Changes publishes changes as they are.
func (c *Client) Changes(ctx context.Context, changes []document.Change, by document.Meta, base document.Digest) (document.Header, error) {
	return document.Header{}, errors.New("publish: not built yet")
}
