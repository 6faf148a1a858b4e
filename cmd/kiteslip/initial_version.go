package main

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/config"
	"kiteslip/internal/control/follow"
	"kiteslip/internal/server"
)

// awaitInitialVersion waits for the fleet's version and returns the configuration that
// the server starts with: the file's with the version's content. If the version is
// invalid here, the stored one is used, and otherwise the file's own content. A shutdown
// notice ends the wait and is delivered again by the returned signals. The follower's
// stream ends with ctx.
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
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	notice, done, watched := make(chan server.ShutdownNotice, 1), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case n := <-signals.Stop:
			notice <- n
			cancel()
		case <-done:
		}
	}()
	doc, source := f.InitialVersion(ctx)
	close(done)
	<-watched
	if len(notice) > 0 {
		signals.Stop = notice
	}
	waited := zap.Int64("waited_ms", time.Since(start).Milliseconds())
	for doc != nil {
		withVersion, err := cfg.WithDocument(doc)
		if err == nil {
			h := doc.Header()
			log.Info("starts by a version", zap.Uint64("version", h.Number), zap.Stringer("digest", doc.Digest()), zap.String("origin", string(source)),
				zap.String("author", h.Author), zap.String("reason", h.Reason), waited)
			return withVersion, f, signals, nil
		}
		doc, source = f.Reject(err)
	}
	log.Warn("starts by the file's own teams and services: no version is available", zap.String("origin", string(source)), waited)
	return cfg, f, signals, nil
}
