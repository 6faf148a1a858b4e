package main

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/config"
	"kiteslip/internal/control/follow"
	"kiteslip/internal/server"
)

// awaitInitialVersion waits for the version that the fleet serves by, lays it over the file's
// configuration, and says what the server starts by. A version that cannot be
// used here leaves the one kept, and else the file. A notice to leave ends the
// wait, and comes again on the signals that are returned. The follower's stream
// ends with ctx.
func awaitInitialVersion(ctx context.Context, cfg *config.Config, signals server.Signals, log *zap.Logger) (*config.Config, *follow.Follower, server.Signals, error) {
	set := follow.Settings{Name: cfg.Name, Region: cfg.Control.Region, Folder: cfg.Control.Folder,
		InitialWait: time.Duration(cfg.Control.InitialWaitUS) * time.Microsecond, Seed: cfg.Seed, Log: log}
	for _, p := range cfg.Control.Publishers {
		set.Publishers = append(set.Publishers, follow.Endpoint{Address: p.Address, Region: p.Region})
	}
	f, err := follow.New(set)
	if err != nil {
		return nil, nil, signals, err
	}
	began := time.Now()
	ctx, end := context.WithCancel(ctx)
	notice, done, watched := make(chan server.ShutdownNotice, 1), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case n := <-signals.Stop:
			notice <- n
			end()
		case <-done:
		}
	}()
	doc, origin := f.InitialVersion(ctx)
	close(done)
	<-watched
	if len(notice) > 0 {
		signals.Stop = notice
	}
	waited := zap.Int64("waited_ms", time.Since(began).Milliseconds())
	for doc != nil {
		with, err := cfg.WithDocument(doc)
		if err == nil {
			h := doc.Header()
			log.Info("starts by a version", zap.Uint64("version", h.Number), zap.Stringer("digest", doc.Digest()), zap.String("origin", string(origin)),
				zap.String("author", h.Author), zap.String("reason", h.Reason), waited)
			return with, f, signals, nil
		}
		doc, origin = f.Reject(err)
	}
	log.Warn("starts by the file's own teams and services: there is no version", zap.String("origin", string(origin)), waited)
	return cfg, f, signals, nil
}
