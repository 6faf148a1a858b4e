package publish

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"kiteslip/internal/config"
	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

// Serve listens and serves until ctx ends; it logs "serving" once it listens. A
// relay follows its upstreams meanwhile. It is called once.
func (p *Publisher) Serve(ctx context.Context) error {
	l, err := net.Listen("tcp", p.set.Listen)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: p.handler(), Protocols: &protocols, ReadHeaderTimeout: helloTimeout, IdleTimeout: time.Minute,
		MaxHeaderBytes: maxFollowerMessageBytes, ErrorLog: zap.NewStdLog(p.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
		HTTP2: &http.HTTP2Config{SendPingTimeout: p.pingIdleTime, PingTimeout: p.pingTimeout, MaxConcurrentStreams: MaxFollowers + 1}}
	var relay sync.WaitGroup
	if p.relay != nil {
		relay.Go(func() { p.relay.Run(ctx, p.applyRelayed) })
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(netutil.LimitListener(l, maxConns)) }()
	doc := p.Document()
	p.log.Info("serving", zap.String("name", p.set.Name), zap.String("region", p.set.Region), zap.String("listen", l.Addr().String()),
		zap.Bool("originates", p.relay == nil), zap.Uint64("version", doc.Header().Number), zap.Stringer("digest", doc.Digest()),
		zap.Uint64("oldest", p.versions.oldest()))
	select {
	case err = <-ended:
	case <-ctx.Done():
		p.beginShutdown()
		timeout, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(timeout) != nil {
			server.Close() //nolint:errcheck // connections that remain are closed
		}
	}
	p.beginShutdown()
	relay.Wait()
	p.log.Info("left")
	return err
}

// handler routes the paths of the protocol.
func (p *Publisher) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathFollow, p.handleFollow)
	mux.HandleFunc("POST "+protocol.PathVersions, p.handlePublish)
	mux.HandleFunc("GET "+protocol.PathVersion, func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, p.describeVersion(p.Document()))
	})
	mux.HandleFunc("GET "+protocol.PathFollowers, p.handleFollowers)
	return mux
}

// describeVersion is the answer for a version, with the state of this machine.
func (p *Publisher) describeVersion(doc *document.Document) *protocol.Version {
	v := versionOf(doc.Header(), doc.Digest())
	v.PublisherName, v.PublisherRegion, v.OriginatorSilenceMS, v.Oldest = p.set.Name, p.set.Region, p.originatorSilence().Milliseconds(), p.versions.oldest()
	v.Followers, v.Forks = p.registry.counts()
	if p.relay != nil {
		v.Originator = p.set.Upstreams[0].Address
	}
	if err := p.store.failure(); err != nil {
		v.DiskError = err.Error()
	}
	return v
}

// handleFollowers answers with the followers; with lagging=1 only with those that
// lag, refused a version or are on a fork.
func (p *Publisher) handleFollowers(w http.ResponseWriter, r *http.Request) {
	followers := p.registry.list(p.versions, time.Now())
	if r.URL.Query().Get("lagging") == "1" {
		filtered := make([]protocol.Follower, 0)
		for _, f := range followers {
			if f.LagMS > 0 || f.RefusalReason != "" || f.Fork {
				filtered = append(filtered, f)
			}
		}
		followers = filtered
	}
	respond(w, http.StatusOK, followers)
}

// The content types of a version.
const (
	typeFile    = "application/toml" // a whole operator's file
	typeChanges = "application/cbor" // a list of document.Change
)

// handlePublish accepts a version from an operator.
func (p *Publisher) handlePublish(w http.ResponseWriter, r *http.Request) {
	if p.relay != nil {
		p.respondError(w, http.StatusConflict, protocol.CodeNotOriginator, fmt.Sprintf("versions are published at %s", p.set.Upstreams[0].Address))
		return
	}
	select {
	case p.bodySlots <- struct{}{}:
		defer func() { <-p.bodySlots }()
	default:
		p.respondError(w, http.StatusServiceUnavailable, protocol.CodeBusy, fmt.Sprintf("%d versions are being read", maxBodyReads))
		return
	}
	query := r.URL.Query()
	by := document.Meta{Author: query.Get("author"), Reason: query.Get("reason")}
	var faults []string
	for key, value := range map[string]string{"author": by.Author, "reason": by.Reason} {
		if value == "" || len(value) > document.MaxTextBytes {
			faults = append(faults, fmt.Sprintf("%s is %d bytes, want 1 to %d", key, len(value), document.MaxTextBytes))
		}
	}
	var base document.Digest
	if text := query.Get("base"); text != "" {
		b, err := hex.DecodeString(text)
		if err != nil || len(b) != len(base) {
			faults = append(faults, fmt.Sprintf("base is %.80q, want %d hex digits", text, 2*len(base)))
		} else {
			base = document.Digest(b)
		}
	}
	if len(faults) > 0 {
		p.respondError(w, http.StatusBadRequest, protocol.CodeInvalid, faults...)
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)) //nolint:errcheck // a connection that has ended shows below
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxMessageBytes))
	if err != nil {
		p.respondError(w, http.StatusBadRequest, protocol.CodeInvalid, err.Error())
		return
	}
	var h document.Header
	switch kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type")); kind {
	case typeFile:
		var next *document.Content
		if next, err = config.ParseContent(string(body)); err != nil {
			err = fmt.Errorf("%w:\n%w", ErrInvalidChanges, err)
		} else {
			h, err = p.PublishContent(next, by, base)
		}
	case typeChanges:
		var changes []document.Change
		if err = changeListDecoder.Unmarshal(body, &changes); err != nil {
			err = fmt.Errorf("%w:\n%w", ErrInvalidChanges, err)
		} else {
			h, err = p.Publish(changes, by, base)
		}
	default:
		p.respondError(w, http.StatusUnsupportedMediaType, protocol.CodeInvalid, fmt.Sprintf("Content-Type is %q, want %s or %s", kind, typeFile, typeChanges))
		return
	}
	if err != nil {
		p.respondForError(w, err)
		return
	}
	// Another version may have come into force since: the answer is the one published
	// here.
	v := p.describeVersion(p.Document())
	published := versionOf(h, h.Digest())
	published.PublisherName, published.PublisherRegion, published.Oldest, published.Followers, published.Forks = v.PublisherName, v.PublisherRegion, v.Oldest, v.Followers, v.Forks
	respond(w, http.StatusOK, published)
}

// changeListDecoder decodes a list of changes.
var changeListDecoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxMapPairs: 64, MaxArrayElements: 2 * (document.MaxTeams + document.MaxServices + document.MaxPools),
		DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// errorCodes map errors to codes and statuses, in the server and in the Client.
var errorCodes = []struct {
	err    error
	code   string
	status int
}{
	{ErrInvalidChanges, protocol.CodeInvalid, http.StatusBadRequest},
	{ErrNotOriginator, protocol.CodeNotOriginator, http.StatusConflict},
	{ErrBaseMismatch, protocol.CodeBaseMismatch, http.StatusConflict},
	{ErrNoChange, protocol.CodeNoChange, http.StatusConflict},
	{ErrDiskFailed, protocol.CodeDiskFailed, http.StatusServiceUnavailable},
	{ErrBusy, protocol.CodeBusy, http.StatusServiceUnavailable},
}

// respondForError answers with the code and status of err.
func (p *Publisher) respondForError(w http.ResponseWriter, err error) {
	for _, c := range errorCodes {
		if errors.Is(err, c.err) {
			text := strings.TrimPrefix(err.Error(), c.err.Error()+":\n")
			p.respondError(w, c.status, c.code, strings.Split(text, "\n")...)
			return
		}
	}
	p.log.Error("a version could not be published", zap.Error(err))
	p.respondError(w, http.StatusInternalServerError, protocol.CodeInvalid, err.Error())
}

// respondError answers with a code and its faults.
func (p *Publisher) respondError(w http.ResponseWriter, status int, code string, faults ...string) {
	r := &protocol.ErrorResponse{Code: code, Faults: faults}
	if p.relay != nil {
		r.Originator = p.set.Upstreams[0].Address
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterS))
	}
	respond(w, status, r)
}

// respond answers with value as JSON.
func respond(w http.ResponseWriter, status int, value any) {
	// A client that does not read holds a connection no longer than that.
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout)) //nolint:errcheck // as below
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value) //nolint:errcheck // the client may have disconnected
}
