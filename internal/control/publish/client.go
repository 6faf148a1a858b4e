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

// Client asks a control machine over the network. Its deadlines are those of the
// contexts. What the machine refuses is an error of this package, to be compared
// with errors.Is, whose text has all faults.
type Client struct{ Address string }

// PublishFile publishes a whole operator's file: its teams, services and pools. The
// originator makes the changes of it. base, if not zero, must be in force.
func (c *Client) PublishFile(ctx context.Context, text []byte, by document.Meta, base document.Digest) (document.Header, error) {
	return c.publish(ctx, typeFile, text, by, base)
}

// PublishChanges publishes changes as they are. base, if not zero, must be in force.
func (c *Client) PublishChanges(ctx context.Context, changes []document.Change, by document.Meta, base document.Digest) (document.Header, error) {
	body, err := cbor.Marshal(changes)
	if err != nil {
		return document.Header{}, err
	}
	return c.publish(ctx, typeChanges, body, by, base)
}

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

// Version asks what is in force.
func (c *Client) Version(ctx context.Context) (*protocol.Version, error) {
	v := &protocol.Version{}
	return v, c.ask(ctx, http.MethodGet, protocol.PathVersion, "", nil, v)
}

// Followers asks who follows, by name; with lagging those alone that lag, refused
// a version or are on a fork.
func (c *Client) Followers(ctx context.Context, lagging bool) ([]protocol.Follower, error) {
	path := protocol.PathFollowers
	if lagging {
		path += "?lagging=1"
	}
	var lines []protocol.Follower
	return lines, c.ask(ctx, http.MethodGet, path, "", nil, &lines)
}

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

// errorFromResponse makes an error of an answer.
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

// versionOf words a header; headerOf reads it.
func versionOf(h document.Header, digest document.Digest) *protocol.Version {
	return &protocol.Version{Number: h.Number, Digest: hex.EncodeToString(digest[:]), Parent: hex.EncodeToString(h.Parent[:]),
		Content: hex.EncodeToString(h.Content[:]), Author: h.Author, Reason: h.Reason, TimeUS: h.Time}
}

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
