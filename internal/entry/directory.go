package entry

import (
	"net/http"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/caller"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/member"
	"gitlab.com/curranttiller/curranttiller/pkg/settle"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

// fallbackHosts is the number of hosts besides the holders in an answer.
const fallbackHosts = 2

// Directory returns the entry hosts that a caller should use for a service. The
// holders come first, each with the same share of the caller's requests, and those of
// the caller's failure domain before the others. Then come hosts with the share zero,
// which the caller uses only if the holders fail.
func (d *Daemon) Directory(service, failureDomain string) (caller.Directory, error) {
	now := time.Now()
	if d.isResuming(now) {
		return caller.Directory{}, fault.New(fault.NotRun, http.StatusServiceUnavailable, "Resuming")
	}
	s, err := d.lookupService(&route.Request{Service: service})
	if err != nil {
		return caller.Directory{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	alive := d.aliveHosts(now)
	answer := caller.Directory{Service: service, Version: s.version, HoldMillis: s.document.DirectoryHold.Milliseconds()}
	holders := steer.NearestFirst(s.holders, failureDomain)
	for _, h := range holders {
		answer.Hosts = d.appendHost(answer.Hosts, now, h.Name, 1/float64(len(holders)))
	}
	for _, h := range steer.Ranked(service, alive) {
		if len(answer.Hosts) >= len(holders)+fallbackHosts {
			break
		}
		if !isListed(answer.Hosts, h.Name) {
			answer.Hosts = d.appendHost(answer.Hosts, now, h.Name, 0)
		}
	}
	return answer, nil
}

func isListed(hosts []caller.EntryHost, name string) bool {
	for i := range hosts {
		if hosts[i].Name == name {
			return true
		}
	}
	return false
}

// appendHost appends a member to an answer if it is alive; d.mu is held.
func (d *Daemon) appendHost(hosts []caller.EntryHost, now time.Time, name string, share float64) []caller.EntryHost {
	m, found := d.members.Lookup(now, name)
	if !found || m.State != member.Alive {
		return hosts
	}
	token := settle.Token{Host: m.Name, Incarnation: m.Incarnation, Counter: m.Counter}
	return append(hosts, caller.EntryHost{
		Name:          m.Name,
		FailureDomain: m.FailureDomain,
		Address:       m.CallerAddress,
		Token:         token.String(),
		Share:         share,
	})
}

// DefaultDeadline returns the time limit of a request without a deadline of its own. It
// is the largest allowed one if this host does not have the service.
func (d *Daemon) DefaultDeadline(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, found := d.services[service]; found {
		return s.document.DeadlineDefault
	}
	return d.settings.DeadlineAtMost
}
