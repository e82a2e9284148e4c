package scenes_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/internal/stand/fleet"
	"gitlab.com/curranttiller/curranttiller/internal/stand/load"
	"gitlab.com/curranttiller/curranttiller/internal/stand/platf"
	"gitlab.com/curranttiller/curranttiller/internal/stand/server"
	"gitlab.com/curranttiller/curranttiller/internal/stand/tamper"
	"gitlab.com/curranttiller/curranttiller/pkg/caller"
)

// cmdProcess kills, starts, stops, freezes or thaws entry hosts, or waits until they
// have exited with code 0. stop sends SIGTERM and does not wait. HOLDER stands for the
// holder.
// Example: process kill entry1
func cmdProcess(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	for _, name := range args[1:] {
		h := s.host(ts, name)
		switch args[0] {
		case "kill":
			h.Kill()
		case "start":
			ts.Check(h.Start())
		case "stop":
			h.Signal(syscall.SIGTERM)
		case "exited":
			h.Wait()
			if h.ExitCode() != 0 {
				ts.Fatalf("%s exited with code %d, want 0", name, h.ExitCode())
			}
		case "freeze":
			h.Signal(syscall.SIGSTOP)
		case "thaw":
			h.Signal(syscall.SIGCONT)
		default:
			ts.Fatalf("unknown action %q", args[0])
		}
	}
}

// host returns the host with a name. HOLDER means the host that was the holder when the
// script first used that name.
func (s *scene) host(ts *testscript.TestScript, name string) *fleet.Host {
	if name == "HOLDER" {
		name = ts.Getenv("HOLDER")
	}
	if name == "" {
		directory, err := s.client.Directory(s.ctx, serviceName)
		ts.Check(err)
		name = directory.Hosts[0].Name
		ts.Setenv("HOLDER", name)
	}
	h := s.fleet.Host(name)
	if h == nil {
		ts.Fatalf("unknown host %q", name)
	}
	return h
}

// cmdTamper replaces the faults of a route of the proxy, or with targets those of the
// routes of all targets. Delay is in ms. Heal removes the faults. Each host has the
// routes HOST-callers, HOST-peers and HOST-platform.
// Examples: tamper entry1-peers Cut; tamper targets DropReplies Delay=20
func cmdTamper(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	routes := []string{strings.Replace(args[0], "HOLDER", s.holderName(ts, args[0]), 1)}
	if args[0] == "targets" {
		routes = make([]string, 0, len(s.fleet.Targets))
		for _, t := range s.fleet.Targets {
			routes = append(routes, t.Name)
		}
	}
	for _, route := range routes {
		fault := tamper.Fault{Route: route}
		for _, word := range args[1:] {
			setFault(ts, &fault, word)
		}
		ts.Check(s.fleet.ApplyFault(s.ctx, fault))
	}
}

func (s *scene) holderName(ts *testscript.TestScript, route string) string {
	if !strings.Contains(route, "HOLDER") {
		return ""
	}
	return s.host(ts, "HOLDER").Name
}

func setFault(ts *testscript.TestScript, fault *tamper.Fault, word string) {
	switch {
	case word == "Cut":
		fault.Cut = true
	case word == "Silence":
		fault.Silence = true
	case word == "DropReplies":
		fault.DropReplies = true
	case strings.HasPrefix(word, "Delay="):
		fault.DelayMicros = parseMillis(ts, word[len("Delay="):]).Microseconds()
	case word != "Heal":
		ts.Fatalf("unknown fault %q", word)
	}
}

// cmdPlatform sets the faults of the platform. With trim it removes all faults and all
// records of the streams.
// Examples: platform '{"Outage":true}'; platform trim
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	var faults platf.Faults
	if args[0] == "trim" {
		faults.TrimTo = 1 << 62
	} else {
		ts.Check(json.Unmarshal([]byte(args[0]), &faults))
	}
	ts.Check(fleet.PostJSON(s.ctx, s.fleet.PlatformAddress, "/control", faults))
}

// cmdTarget sets the behaviour of one target or, with all, of every target.
// Example: target reservas1 '{"FailFast":true}'
func cmdTarget(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	var behaviour server.Behaviour
	ts.Check(json.Unmarshal([]byte(args[1]), &behaviour))
	for _, t := range s.fleet.Targets {
		if args[0] == "all" || args[0] == t.Name {
			ts.Check(s.fleet.SetBehaviour(s.ctx, t, &behaviour))
		}
	}
}

// cmdList changes the state of a target on the platform's list.
// Example: list reservas2 Leaving
func cmdList(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	t := s.fleet.Target(args[0])
	ts.Check(s.fleet.ChangeHosts(s.ctx, []plat.Host{{
		Name: t.Name, Role: plat.RoleTarget, Service: t.Service, Address: t.Address, FailureDomain: t.Domain, State: args[1],
	}}))
}

// cmdAwait waits for a state of hosts or of a target:
//   - await members entry1 entry2: each of these hosts reports as many hosts alive as are named
//   - await version 3 entry1: the host applies this version of the service's document
//   - await ready entry1: the host is ready; with ! it is not
//   - await gone HOLDER: no other host lists the host in its directory
//   - await state reservas1 Draining: a holder of the service reports this state of the target
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	s := sceneOf(ts)
	switch args[0] {
	case "members":
		hosts := make([]*fleet.Host, 0, len(args))
		for _, name := range args[1:] {
			hosts = append(hosts, s.host(ts, name))
		}
		ts.Check(s.fleet.AwaitMembership(s.ctx, hosts))
	case "version":
		want := uint64(parseNumber(ts, args[1]))
		for _, name := range args[2:] {
			h := s.host(ts, name)
			s.await(ts, "the version on "+h.Name, func() bool { return s.version(h) == want })
		}
	case "ready":
		for _, name := range args[1:] {
			h := s.host(ts, name)
			s.await(ts, h.Name+" to be ready", func() bool { return s.status(h).Ready != neg })
		}
	case "gone":
		gone := s.host(ts, args[1]).Name
		s.await(ts, gone+" to leave the directory", func() bool { return s.isGone(gone) })
	case "state":
		s.await(ts, args[1]+" to be "+args[2], func() bool { return s.targetState(args[1]) == args[2] })
	default:
		ts.Fatalf("unknown state %q", args[0])
	}
}

func (s *scene) await(ts *testscript.TestScript, what string, holds func() bool) {
	started := time.Now()
	for !holds() {
		if time.Since(started) > awaitTimeout {
			ts.Fatalf("timed out waiting for %s", what)
		}
		<-time.After(pollPeriod)
	}
	ts.Logf("waiting for %s took %v", what, time.Since(started).Round(time.Millisecond))
}

func (s *scene) status(h *fleet.Host) admin.Status {
	status, _ := load.FetchJSON[admin.Status](s.ctx, h.AdminAddress, "/tiller/status")
	return status
}

func (s *scene) version(h *fleet.Host) uint64 {
	for _, service := range s.status(h).Services {
		if service.Name == serviceName {
			return service.Version
		}
	}
	return 0
}

func (s *scene) targetState(name string) string {
	for _, h := range s.fleet.Hosts {
		for _, service := range s.status(h).Services {
			for i := range service.Targets {
				if service.IsHeld && service.Targets[i].Name == name {
					return service.Targets[i].State
				}
			}
		}
	}
	return ""
}

// isGone reports whether at least one other host responds and none of those that
// respond lists the host in its directory.
func (s *scene) isGone(name string) bool {
	responses := 0
	for _, h := range s.fleet.Hosts {
		if h.Name == name {
			continue
		}
		directory, err := load.FetchJSON[caller.Directory](s.ctx, h.CallerAddress, "/tiller/directory?service="+serviceName)
		if err != nil {
			continue
		}
		responses++
		for i := range directory.Hosts {
			if directory.Hosts[i].Name == name {
				return false
			}
		}
	}
	return responses > 0
}

// cmdAppend appends a record with the given text, valid or not, to the documents stream.
func cmdAppend(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	client := plat.NewClient(s.fleet.PlatformAddress, new(atomic.Int64))
	defer client.Close()
	_, err := client.Append(s.ctx, plat.StreamDocuments, []byte(args[0]))
	ts.Check(err)
}

// cmdMetric waits until a metric of a host is at least the given number.
// Example: metric entry1 curranttiller_log_records_malformed_total 2
func cmdMetric(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	h := s.host(ts, args[0])
	least := parseNumber(ts, args[2])
	s.await(ts, args[1], func() bool { return fetchMetric(s.ctx, ts, h.AdminAddress, args[1]) >= least })
}

func fetchMetric(ctx context.Context, ts *testscript.TestScript, address, name string) float64 {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	ts.Check(err)
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	ts.Check(err)
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), name+" "); found {
			return parseNumber(ts, value)
		}
	}
	return 0
}
