package publish

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

// Client sends requests to a control machine. Timeouts are those of the contexts. A
// refusal by the machine is returned as one of this package's errors, to be compared
// with errors.Is; its text has all faults.
type Client struct{ Address string }

// PublishFile publishes a whole operator's file: its teams, services and pools. The
// originator turns it into changes. base, if not zero, must be in force.
func (c *Client) PublishFile(ctx context.Context, text []byte, by document.Meta, base document.Digest) (document.Header, error) {
	return c.publish(ctx, typeFile, text, by, base)
}

// PublishChanges publishes changes. base, if not zero, must be in force.
func (c *Client) PublishChanges(ctx context.Context, changes []document.Change, by document.Meta, base document.Digest) (document.Header, error) {
	body, err := cbor.Marshal(changes)
	if err != nil {
		return document.Header{}, err
	}
	return c.publish(ctx, typeChanges, body, by, base)
}

// publish posts a version.
func (c *Client) publish(ctx context.Context, kind string, body []byte, by document.Meta, base document.Digest) (document.Header, error) {
	query := url.Values{"author": {by.Author}, "reason": {by.Reason}}
	if base != (document.Digest{}) {
		query.Set("base", hex.EncodeToString(base[:]))
	}
	var v protocol.Version
	if err := c.ask(ctx, http.MethodPost, protocol.PathVersions+"?"+query.Encode(), kind, body, &v); err != nil {
		return document.Header{}, err
	}
	return headerOf(&v)
}

// Version returns the version in force on the machine.
func (c *Client) Version(ctx context.Context) (*protocol.Version, error) {
	v := &protocol.Version{}
	return v, c.ask(ctx, http.MethodGet, protocol.PathVersion, "", nil, v)
}

// Followers returns the machine's followers, by name; with lagging only those that
// lag, refused a version or are on a fork.
func (c *Client) Followers(ctx context.Context, lagging bool) ([]protocol.Follower, error) {
	path := protocol.PathFollowers
	if lagging {
		path += "?lagging=1"
	}
	var followers []protocol.Follower
	return followers, c.ask(ctx, http.MethodGet, path, "", nil, &followers)
}

// ask sends one request and decodes the answer into into.
func (c *Client) ask(ctx context.Context, method, path, kind string, body []byte, into any) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	if kind != "" {
		r.Header.Set("Content-Type", kind)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	a, err := transport.RoundTrip(r)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, protocol.MaxMessageBytes))
	if err != nil {
		return fmt.Errorf("publish: %s: %w", c.Address, err)
	}
	if a.StatusCode == http.StatusOK {
		if err := json.Unmarshal(text, into); err != nil {
			return fmt.Errorf("publish: %s: %w", c.Address, err)
		}
		return nil
	}
	return errorFromResponse(a.StatusCode, text)
}

// errorFromResponse turns a refusal into an error.
func errorFromResponse(status int, text []byte) error {
	var r protocol.ErrorResponse
	if json.Unmarshal(text, &r) != nil || len(r.Faults) == 0 {
		return fmt.Errorf("publish: status %d: %.200s", status, text)
	}
	faults := strings.Join(r.Faults, "\n")
	for _, c := range errorCodes {
		if c.code == r.Code {
			return fmt.Errorf("%w:\n%s", c.err, strings.TrimPrefix(faults, c.err.Error()+": "))
		}
	}
	return errors.New(faults)
}

// versionOf is a header in the form of the HTTP interface; headerOf is its inverse.
func versionOf(h document.Header, digest document.Digest) *protocol.Version {
	return &protocol.Version{Number: h.Number, Digest: hex.EncodeToString(digest[:]), Parent: hex.EncodeToString(h.Parent[:]),
		Content: hex.EncodeToString(h.Content[:]), Author: h.Author, Reason: h.Reason, TimeUS: h.Time}
}

// headerOf returns the header of a version, and checks its digest.
func headerOf(v *protocol.Version) (document.Header, error) {
	h := document.Header{Number: v.Number, Author: v.Author, Reason: v.Reason, Time: v.TimeUS}
	for key, into := range map[string]*document.Digest{v.Parent: &h.Parent, v.Content: &h.Content} {
		b, err := hex.DecodeString(key)
		if err != nil || len(b) != len(into) {
			return h, fmt.Errorf("publish: the answer has the digest %.80q", key)
		}
		*into = document.Digest(b)
	}
	if digest := h.Digest(); hex.EncodeToString(digest[:]) != v.Digest {
		return h, fmt.Errorf("publish: the answer has the digest %.80q, want that of its header, %v", v.Digest, digest)
	}
	return h, nil
}
