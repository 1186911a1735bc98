package main

import (
	"context"
	"errors"
	"fmt"
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
	"pollendock.example/pollendockd/internal/cluster"
	"pollendock.example/pollendockd/internal/intake"
	"pollendock.example/pollendockd/internal/peer"
	"pollendock.example/pollendockd/internal/replica"
	"pollendock.example/pollendockd/internal/request"
	"pollendock.example/pollendockd/internal/scheduler"
	"pollendock.example/pollendockd/internal/telemetry"
)

type (
	// platformProcess holds the components of an entry VM on the users' platform.
	platformProcess struct {
		platform *platform.Platform
		// refuseOverload is set if the leader refuses jobs under overload.
		refuseOverload bool
		local          site.Local
		signals        <-chan os.Signal
		member         job.Member
		logger         log.Logger
		metrics        *telemetry.Metrics
		clients        *clients
		// replica is the local copy of the durable records.
		replica   *job.View
		follower  *replica.Follower
		catalog   *request.CatalogWatcher
		sharer    *request.CatalogSharer
		request   *request.Handler
		scheduler *scheduler.Scheduler
		peers     *cluster.Peers
		// advisor is nil if the platform has none.
		advisor cluster.AdvisorWithAnswers
	}

	// localLeader is the scheduler of this VM. It refers to the process, because the
	// scheduler is created after the peers that need it.
	localLeader struct {
		s *platformProcess
	}
)

const (
	metricsPort = 9464
	metricsPath = "/metrics"
	// balancerDelay is the time that the balancer may take to notice that this VM is
	// not ready.
	balancerDelay = 2500 * time.Millisecond
	// stopReserve is the part of the grace period that is reserved for the exit of the
	// process.
	stopReserve           = 700 * time.Millisecond
	handoverTimeout       = 1500 * time.Millisecond
	joinRetryInterval     = 200 * time.Millisecond
	joinTimeout           = time.Second
	settingsRetryInterval = time.Second
	sinkFlushTimeout      = 200 * time.Millisecond
	signalBufferSize      = 4
)

// notifyPlatformSignals returns the signals that servePlatform handles. A process that
// starts would be ended by one of them.
func notifyPlatformSignals() <-chan os.Signal {
	signals := make(chan os.Signal, signalBufferSize)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	return signals
}

// servePlatform runs an entry VM on the users' platform until it receives a signal.
func servePlatform(refuseOverload bool, signals <-chan os.Signal) error {
	sink := telemetry.NewSink(os.Stdout)
	defer sink.Close(sinkFlushTimeout)
	logger := telemetry.NewLogger(sink, "info", "")
	p, err := openPlatform(logger, signals)
	if err != nil {
		return err
	}
	local := p.Local()
	s := &platformProcess{
		platform: p, local: local, signals: signals, refuseOverload: refuseOverload, metrics: telemetry.NewMetrics(), replica: job.NewView(),
		logger: telemetry.NewLogger(sink, "info", local.Name),
		member: job.Member{
			Name: local.Name, Incarnation: local.Name + "/" + uuid.NewString()[:8],
			PeerAddr: local.Peer, DataCentre: local.DataCentre, CPUCores: local.CPUCores,
		},
	}
	s.clients = newClients(intake.Machine{MemoryBytes: local.MemoryBytes, Descriptors: local.Descriptors}, s.logger, telemetry.Counts{Scope: s.metrics.Scope})
	s.build()
	_ = level.Info(s.logger).Log("msg", "start", "incarnation", s.member.Incarnation, "dataCentre", local.DataCentre,
		"listen", local.Listen, "peer", local.Peer, "leaseMs", local.Bounds.MaxLease.Milliseconds(), "graceMs", local.Bounds.Grace.Milliseconds())
	return s.run()
}

// openPlatform reads the settings and retries until they are valid, at once after SIGHUP. If
// the process exited instead, it would only be restarted with the same file.
func openPlatform(logger log.Logger, signals <-chan os.Signal) (*platform.Platform, error) {
	for {
		p, err := platform.Open()
		if err == nil {
			return p, nil
		}
		_ = level.Error(logger).Log("msg", "invalid settings; retrying", "err", err)
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return nil, err
			}
		case <-time.After(settingsRetryInterval):
		}
	}
}

func (s *platformProcess) build() {
	counts := telemetry.Counts{Scope: s.metrics.Scope}
	stream := s.platform.Stream
	s.catalog = request.NewCatalogWatcher(s.platform.Catalogs, s.logger, counts)
	s.follower = replica.NewFollower(stream, s.replica, s.logger, func(ids []string) { s.scheduler.JobsChanged(ids) })
	deps := scheduler.Deps{
		Stream: stream, Follower: s.follower, View: s.replica, Upstreams: s.platform.Upstreams,
		Dial:    func(id string, addr netip.AddrPort) scheduler.Worker { return s.platform.Worker(id, addr) },
		Catalog: s.catalog.Current, CatalogFresh: s.catalog.Fresh, Logger: s.logger, Counts: counts,
	}
	if s.platform.Advisor != nil {
		s.advisor = cluster.KeepAnswers(s.platform.Advisor, s.replica)
	}
	s.peers = cluster.NewPeers(&s.member, s.replica, s.follower, s.advisor, localLeader{s}, s.logger, counts)
	deps.Peers = s.peers
	if s.advisor != nil {
		deps.Advisor = s.peers
	}
	s.scheduler = scheduler.New(scheduler.Options{
		Name: s.local.Name, Incarnation: s.member.Incarnation, CPUCores: s.local.CPUCores, Bounds: s.local.Bounds,
		RefuseOverload: s.refuseOverload,
	}, deps)
	s.sharer = request.NewCatalogSharer(s.catalog, s.peers, s.local.Bounds, counts)
	s.request = request.New(request.Deps{
		Stream: stream, Follower: s.follower, View: s.replica, Catalog: s.catalog, Sharer: s.sharer, Peers: s.peers, Leader: s.peers,
		Logger: s.logger, Counts: counts,
	})
}

// Accept makes entries durable if this VM is the leader.
func (l localLeader) Accept(ctx context.Context, entries []site.Entry) error {
	return l.s.scheduler.Accept(ctx, entries)
}

// Yield asks this VM to campaign.
func (l localLeader) Yield(epoch int64) {
	l.s.scheduler.Yield(epoch)
}

func (s *platformProcess) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	for _, component := range []func(context.Context) error{
		s.scheduler.Run, s.follower.Run, s.catalog.Run, s.sharer.Run, s.request.Run, s.join, s.watchLeader, s.peers.FollowLeader,
	} {
		g.Add(func() error { return component(ctx) }, func(error) { cancel() })
	}
	peerListener, err := s.clients.ledger.ListenRPC("peers", s.local.Peer, s.clients.limits.Peers)
	if err != nil {
		return err
	}
	peers, err := peer.NewRPCServer(peerListener, cluster.NewServer(ctx, s.member.Incarnation, s.advisor, s.request, s.scheduler, s.follower, s.peers, s.logger))
	if err != nil {
		return err
	}
	g.Add(peers.Serve, func(error) { peers.Close() })
	for _, l := range []listenerOptions{
		{name: "ready", addr: s.local.Ready, limit: s.clients.limits.Probes, handler: platform.ReadyHandler(s.request)},
		{name: "metrics", addr: netip.AddrPortFrom(s.local.Peer.Addr(), metricsPort), limit: s.clients.limits.Probes, handler: s.metricsHandler()},
	} {
		if _, err := s.clients.addServer(&g, &l); err != nil {
			return err
		}
	}
	server, err := s.clients.addServer(&g, &listenerOptions{
		name: "callers", addr: s.local.Listen, limit: s.clients.limits.Callers, maxBodyBytes: platform.MaxBodyBytes,
		handler: s.closeWhenStopping(platform.Handler(s.request)),
	})
	if err != nil {
		return err
	}
	g.Add(func() error { return s.awaitSignals(ctx, server) }, func(error) { cancel() })
	err = g.Run()
	_ = level.Info(s.logger).Log("msg", "stop", "err", err)
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *platformProcess) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(metricsPath, s.metrics.Handler)
	return mux
}

// closeWhenStopping closes connections after their next answer once this VM is stopping.
// Callers then open new connections, which the balancer routes to other VMs.
func (s *platformProcess) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.request.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// watchLeader makes this VM campaign as soon as the leader's process has ended.
func (s *platformProcess) watchLeader(ctx context.Context) error {
	return s.peers.WatchLeader(ctx, s.scheduler.LeaderEnded)
}

// join appends the record that lists this VM as a member.
func (s *platformProcess) join(ctx context.Context) error {
	e, err := job.MemberEntry(&s.member)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if err := s.append(ctx, e); err == nil {
			_ = level.Info(s.logger).Log("msg", "registered as a member", "peer", s.member.PeerAddr)
			<-ctx.Done()
			return ctx.Err()
		}
		time.Sleep(joinRetryInterval)
	}
	return ctx.Err()
}

func (s *platformProcess) append(ctx context.Context, e site.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err := s.platform.Stream.Append(ctx, []site.Entry{e})
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "failed to append member record", "err", err)
	}
	return err
}

// awaitSignals stops gracefully after SIGTERM or an interrupt. On SIGHUP it only checks
// and logs whether the settings have changed, because they take effect at the next start.
func (s *platformProcess) awaitSignals(ctx context.Context, server *http.Server) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case sig := <-s.signals:
			if sig == syscall.SIGHUP {
				s.reload()
				continue
			}
			return s.stop(server)
		}
	}
}

// reload checks the settings without applying them: addresses and bounds are fixed for the
// lifetime of a process.
func (s *platformProcess) reload() {
	n, err := platform.LoadSettings()
	if err != nil {
		_ = level.Error(s.logger).Log("msg", "reload: invalid settings; keeping the old ones", "err", err)
		return
	}
	_ = level.Info(s.logger).Log("msg", "reload", "changed", n.Local != s.local)
}

// stop hands over the leadership, waits until the balancer has noticed, and returns once
// all requests have been answered.
func (s *platformProcess) stop(server *http.Server) error {
	began := time.Now()
	_ = level.Info(s.logger).Log("msg", "stopping")
	s.request.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), s.local.Bounds.Grace-stopReserve)
	defer cancel()
	handover, done := context.WithTimeout(ctx, handoverTimeout)
	s.scheduler.Stop(handover)
	done()
	leave, done := context.WithTimeout(ctx, joinTimeout)
	if err := s.append(leave, job.MemberRemovalEntry(s.member.Name)); err != nil {
		_ = level.Warn(s.logger).Log("msg", "failed to remove member record", "err", err)
	}
	done()
	time.Sleep(max(0, balancerDelay-time.Since(began)))
	if err := server.Shutdown(ctx); err != nil {
		return fmt.Errorf("some requests were aborted: %w", err)
	}
	return context.Canceled
}
