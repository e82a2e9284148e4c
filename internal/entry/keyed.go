package entry

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/header"
	"gitlab.com/curranttiller/curranttiller/pkg/settle"
)

// passToHome passes a keyed request to the incarnation that its key names. If
// that is gone, an earlier submission may have run there.
func (d *Daemon) passToHome(ctx context.Context, request *route.Request, key settle.Key, w http.ResponseWriter) error {
	if request.Forwarded || key.Host == d.settings.Name {
		return fault.New(fault.MayHaveRun, http.StatusBadGateway, "HomeGone")
	}
	d.mu.Lock()
	home, found := d.members.Lookup(time.Now(), key.Host)
	d.mu.Unlock()
	if !found || home.Incarnation > key.Incarnation {
		return fault.New(fault.MayHaveRun, http.StatusBadGateway, "HomeGone")
	}
	err := d.forwardKeyed(ctx, home.PeerAddress, request, w)
	if isUnsent(err) {
		// This submission did not run, but an earlier one may have.
		return fault.Wrap(err, fault.MayHaveRun, http.StatusBadGateway, "HomeUnreachable")
	}
	return err
}

// forwardKeyed passes a request to its home, and once more if the connection to
// it was lost: the home joins the submissions, so that this is no second run.
func (d *Daemon) forwardKeyed(ctx context.Context, address string, request *route.Request, w http.ResponseWriter) error {
	body, err := newReplayBody(request)
	if err != nil {
		// An earlier submission may have run: only the home can say that none did.
		return fault.Wrap(err, fault.MayHaveRun, http.StatusBadRequest, "BodyUnreadable")
	}
	request.Body = body.reader()
	err = d.forward(ctx, address, request, w)
	if ctx.Err() != nil || !isUnanswered(err) || !body.isReplayable() {
		return err
	}
	request.Body = body.reader()
	return d.forward(ctx, address, request, w)
}

// fingerprint tells requests with the same key apart.
func fingerprint(request *route.Request) uint64 {
	return xxhash.Sum64String(request.Service + "\x00" + request.Method + "\x00" + request.URI)
}

// serveKeyed settles a submission whose home is this incarnation.
func (d *Daemon) serveKeyed(ctx context.Context, request *route.Request, key settle.Key, w http.ResponseWriter) error {
	for {
		d.keysMu.Lock()
		action, answer := d.keys.Submit(key, fingerprint(request))
		wait := d.keyDone[key.String()]
		if action == settle.Run {
			d.keyDone[key.String()] = make(chan struct{})
		}
		d.keysMu.Unlock()
		switch action {
		case settle.Run:
			return d.runKeyed(ctx, request, key, w)
		case settle.Join:
			if err := d.join(ctx, request, wait); err != nil {
				return err
			}
		case settle.Replay:
			d.counters.replays.Inc()
			d.events.Add(event.Event{Kind: "AnswerReplayed", Service: request.Service, Request: request.ID, Cause: key.String()})
			return replay(w, request, &answer)
		case settle.Full:
			return fault.New(fault.MayHaveRun, http.StatusServiceUnavailable, "KeysFull")
		case settle.Mismatch:
			return fault.New(fault.NotRun, http.StatusUnprocessableEntity, "KeyOfAnotherRequest")
		default:
			return fault.New(fault.MayHaveRun, http.StatusConflict, action.String())
		}
	}
}

// join waits until the first submission of the key is settled.
func (d *Daemon) join(ctx context.Context, request *route.Request, wait <-chan struct{}) error {
	d.events.Add(event.Event{Kind: "RequestJoined", Service: request.Service, Request: request.ID, Cause: "an earlier submission runs"})
	if wait == nil {
		return nil
	}
	select {
	case <-wait:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.MayHaveRun, http.StatusGatewayTimeout, choose.ReasonDeadline)
	}
}

// runKeyed runs the first submission. The run goes on if its caller goes away,
// because the next submission wants the answer.
func (d *Daemon) runKeyed(ctx context.Context, request *route.Request, key settle.Key, w http.ResponseWriter) error {
	settled := failedAnswer(fault.New(fault.MayHaveRun, http.StatusBadGateway, "Internal"))
	// The outcome is recorded however the run ends; a panic leaves MayHaveRun.
	defer func() { d.settleKey(key, settled) }()
	s, err := d.lookup(request)
	if err != nil {
		settled = failedAnswer(route.AsFault(err))
		return err
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), request.Deadline)
	defer cancel()
	d.mu.Lock()
	record := &recorder{to: w, limit: s.document.AnswerBytesRemembered}
	d.mu.Unlock()
	err = s.run(ctx, request, record)
	settled = record.answer(err)
	return err
}

func (d *Daemon) settleKey(key settle.Key, answer settle.Answer) {
	d.keysMu.Lock()
	defer d.keysMu.Unlock()
	d.keys.Finish(key, answer)
	close(d.keyDone[key.String()])
	delete(d.keyDone, key.String())
}

// replay gives a submission the remembered answer of an earlier one.
func replay(w http.ResponseWriter, request *route.Request, answer *settle.Answer) error {
	w.Header().Set(header.Replayed, "true")
	if answer.Dropped {
		return fault.New(answer.Verdict, answer.Status, answer.Reason)
	}
	for _, field := range answer.Headers {
		w.Header().Add(field[0], field[1])
	}
	w.Header().Set(header.RequestID, request.ID)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	return nil
}

// failedAnswer remembers a failure without a body.
func failedAnswer(failed *fault.Error) settle.Answer {
	return settle.Answer{Verdict: failed.Verdict, Status: failed.Status, Reason: failed.Reason, Dropped: true}
}

// recorder copies an answer for the memory while it is sent. Errors of the
// receiver are dropped, because the run must be recorded whole all the same.
type recorder struct {
	to       http.ResponseWriter
	limit    int
	status   int
	body     bytes.Buffer
	overflow bool
}

// Header returns the head to be sent.
func (r *recorder) Header() http.Header {
	return r.to.Header()
}

// WriteHeader sends and records the status.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.to.WriteHeader(status)
}

// Write sends and records a piece of the body.
func (r *recorder) Write(p []byte) (int, error) {
	if r.body.Len()+len(p) > r.limit {
		r.overflow = true
	}
	if !r.overflow {
		r.body.Write(p)
	}
	_, _ = r.to.Write(p)
	return len(p), nil
}

// answer returns what is remembered after a run that ended with err.
func (r *recorder) answer(err error) settle.Answer {
	if r.status == 0 {
		return failedAnswer(route.AsFault(err))
	}
	settled := settle.Answer{Verdict: fault.ParseVerdict(r.Header().Get(header.Verdict)), Status: r.status}
	if err != nil || r.overflow {
		return failedAnswer(fault.New(settled.Verdict, http.StatusConflict, "AnswerNotRemembered"))
	}
	for name, values := range r.Header() {
		for _, value := range values {
			settled.Headers = append(settled.Headers, [2]string{name, value})
		}
	}
	settled.Body = bytes.Clone(r.body.Bytes())
	return settled
}
