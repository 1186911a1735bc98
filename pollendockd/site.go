package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/oklog/run"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/platform"
	"pollendock.example/pollendockd/internal/book"
	"pollendock.example/pollendockd/internal/desk"
	"pollendock.example/pollendockd/internal/helper"
	"pollendock.example/pollendockd/internal/peer"
	"pollendock.example/pollendockd/internal/scheduler"
	"pollendock.example/pollendockd/internal/telemetry"
)

type (
	// siteProcess holds what the parts of an entry VM on the users' platform
	// share.
	siteProcess struct {
		platform  *platform.Platform
		local     site.Local
		member    job.Member
		logger    log.Logger
		metrics   *telemetry.Metrics
		book      *job.View
		follower  *book.Follower
		catalog   *desk.CatalogWatch
		desk      *desk.Desk
		scheduler *scheduler.Scheduler
		peers     *helper.Peers
		// advisor is nil where there is none.
		advisor helper.Advisor
	}

	// leaderHere is the scheduler of this VM, which is made after its peers.
	leaderHere struct {
		s *siteProcess
	}
)

const (
	metricsPort = 9464
	metricsPath = "/metrics"
	// balancerNotice is how long the balancer may take to notice that this VM
	// is not ready.
	balancerNotice = 2500 * time.Millisecond
	// stopReserve is kept of the grace for the end of the process.
	stopReserve  = 700 * time.Millisecond
	handoverTime = 1500 * time.Millisecond
	joinRetry    = 200 * time.Millisecond
	joinTimeout  = time.Second
	settingsWait = time.Second
	sinkFlush    = 200 * time.Millisecond
)

// serveSite runs an entry VM on the users' platform until a signal.
func serveSite() error {
	sink := telemetry.NewSink(os.Stdout)
	defer sink.Close(sinkFlush)
	logger := telemetry.NewLogger(sink, "info", "")
	p, err := openPlatform(logger)
	if err != nil {
		return err
	}
	local := p.Local()
	s := &siteProcess{
		platform: p, local: local, metrics: telemetry.NewMetrics(), book: job.NewView(),
		logger: telemetry.NewLogger(sink, "info", local.Name),
		member: job.Member{
			Name: local.Name, Incarnation: local.Name + "/" + uuid.NewString()[:8],
			PeerAddr: local.Peer, DataCentre: local.DataCentre, CPUCores: local.CPUCores,
		},
	}
	s.wire()
	_ = level.Info(s.logger).Log("msg", "start", "incarnation", s.member.Incarnation, "dataCentre", local.DataCentre,
		"listen", local.Listen, "peer", local.Peer, "leaseMs", local.Bounds.MaxLease.Milliseconds(), "graceMs", local.Bounds.Grace.Milliseconds())
	return s.run()
}

// openPlatform reads the settings, again and again until they are valid: a
// process that ended instead would only be restarted with the same file.
func openPlatform(logger log.Logger) (*platform.Platform, error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	for {
		p, err := platform.Open()
		if err == nil {
			return p, nil
		}
		_ = level.Error(logger).Log("msg", "settings are not valid, trying again", "err", err)
		select {
		case <-signals:
			return nil, err
		case <-time.After(settingsWait):
		}
	}
}

func (s *siteProcess) wire() {
	counts := telemetry.Counts{Scope: s.metrics.Scope}
	stream := s.platform.Stream
	s.catalog = desk.NewCatalogWatch(s.platform.Catalogs, s.logger)
	s.follower = book.NewFollower(stream, s.book, s.logger, func(ids []string) { s.scheduler.JobsChanged(ids) })
	deps := scheduler.Deps{
		Stream: stream, Follower: s.follower, View: s.book, Upstreams: s.platform.Upstreams,
		Dial:    func(id string, addr netip.AddrPort) scheduler.Worker { return s.platform.Worker(id, addr) },
		Catalog: s.catalog.Current, Logger: s.logger, Counts: counts,
	}
	if s.platform.Advisor != nil {
		s.advisor = s.platform.Advisor
	}
	s.peers = helper.NewPeers(&s.member, s.book, s.follower, s.advisor, leaderHere{s}, s.logger)
	deps.Peers = s.peers
	if s.advisor != nil {
		deps.Advisor = s.peers
	}
	s.scheduler = scheduler.New(scheduler.Options{
		Name: s.local.Name, Incarnation: s.member.Incarnation, CPUCores: s.local.CPUCores, Bounds: s.local.Bounds,
	}, deps)
	s.desk = desk.New(desk.Deps{
		Stream: stream, Follower: s.follower, View: s.book, Catalog: s.catalog, Peers: s.peers, Leader: s.peers,
		Logger: s.logger, Counts: counts,
	})
}

// Accept makes entries durable if this VM leads.
func (l leaderHere) Accept(ctx context.Context, entries []site.Entry) error {
	return l.s.scheduler.Accept(ctx, entries)
}

// Yield asks this VM to stand.
func (l leaderHere) Yield(epoch int64) {
	l.s.scheduler.Yield(epoch)
}

func (s *siteProcess) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	for _, part := range []func(context.Context) error{
		s.scheduler.Run, s.follower.Run, s.catalog.Run, s.desk.Run, s.join, s.watchLeader, s.peers.FollowLeader,
	} {
		g.Add(func() error { return part(ctx) }, func(error) { cancel() })
	}
	peerListener, err := net.Listen("tcp", s.local.Peer.String())
	if err != nil {
		return err
	}
	peers, err := peer.NewServerOf(peerListener, helper.NewServer(ctx, s.member.Incarnation, s.advisor, s.desk, s.scheduler, s.follower, s.peers, s.logger))
	if err != nil {
		return err
	}
	g.Add(peers.Serve, func(error) { peers.Close() })
	for _, l := range []struct {
		addr    netip.AddrPort
		handler http.Handler
	}{
		{s.local.Ready, platform.ReadyHandler(s.desk)},
		{netip.AddrPortFrom(s.local.Peer.Addr(), metricsPort), s.metricsHandler()},
	} {
		if _, err := s.addServer(&g, l.addr, l.handler); err != nil {
			return err
		}
	}
	front, err := s.addServer(&g, s.local.Listen, s.closing(platform.Handler(s.desk)))
	if err != nil {
		return err
	}
	g.Add(func() error { return s.awaitSignals(ctx, front) }, func(error) { cancel() })
	err = g.Run()
	_ = level.Info(s.logger).Log("msg", "stop", "err", err)
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *siteProcess) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(metricsPath, s.metrics.Handler)
	return mux
}

// closing asks callers to open a new connection, which the balancer sends
// elsewhere, once this VM is to stop.
func (s *siteProcess) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.desk.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *siteProcess) addServer(g *run.Group, addr netip.AddrPort, h http.Handler) (*http.Server, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	ended := make(chan struct{})
	g.Add(func() error {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		// A shutdown is awaited where it was asked for.
		<-ended
		return nil
	}, func(error) {
		close(ended)
		_ = server.Close()
	})
	return server, nil
}

// watchLeader has this VM stand as soon as the leader's process has ended.
func (s *siteProcess) watchLeader(ctx context.Context) error {
	return s.peers.WatchLeader(ctx, s.scheduler.LeaderEnded)
}

// join lists this VM for the others.
func (s *siteProcess) join(ctx context.Context) error {
	e, err := job.MemberEntry(&s.member)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if err := s.append(ctx, e); err == nil {
			_ = level.Info(s.logger).Log("msg", "listed as a member", "peer", s.member.PeerAddr)
			<-ctx.Done()
			return ctx.Err()
		}
		time.Sleep(joinRetry)
	}
	return ctx.Err()
}

func (s *siteProcess) append(ctx context.Context, e site.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err := s.platform.Stream.Append(ctx, []site.Entry{e})
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "member list not written", "err", err)
	}
	return err
}

// awaitSignals stops gracefully after SIGTERM. Settings that changed are read
// at the next start; SIGHUP only says so in the log.
func (s *siteProcess) awaitSignals(ctx context.Context, front *http.Server) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				s.reload()
				continue
			}
			return s.stop(front)
		}
	}
}

// reload checks the settings. What they hold is fixed for the life of a
// process: addresses and bounds.
func (s *siteProcess) reload() {
	n, err := platform.LoadSettings()
	if err != nil {
		_ = level.Error(s.logger).Log("msg", "reload: settings are not valid, the old ones stay", "err", err)
		return
	}
	_ = level.Info(s.logger).Log("msg", "reload", "changed", n.Local != s.local)
}

// stop hands the leadership over, lets the balancer notice, and ends once every
// request has its answer.
func (s *siteProcess) stop(front *http.Server) error {
	began := time.Now()
	_ = level.Info(s.logger).Log("msg", "stopping")
	s.desk.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), s.local.Bounds.Grace-stopReserve)
	defer cancel()
	handover, done := context.WithTimeout(ctx, handoverTime)
	s.scheduler.Stop(handover)
	done()
	leave, done := context.WithTimeout(ctx, joinTimeout)
	if err := s.append(leave, job.MemberRemovalEntry(s.member.Name)); err != nil {
		_ = level.Warn(s.logger).Log("msg", "still listed as a member", "err", err)
	}
	done()
	time.Sleep(max(0, balancerNotice-time.Since(began)))
	if err := front.Shutdown(ctx); err != nil {
		return fmt.Errorf("some answers were cut: %w", err)
	}
	return context.Canceled
}
