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

// forwardToHome forwards a keyed request to its home, which is the host incarnation
// that the key names. If the home no longer exists the verdict is MayHaveRun, because
// an earlier submission of the key may have run there.
func (d *Daemon) forwardToHome(ctx context.Context, request *route.Request, key settle.Key, w http.ResponseWriter) error {
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

// forwardKeyed forwards a request to its home. If that fails before any answer, for
// example because the connection is lost, and the body can be sent again, it does so
// once more. The home deduplicates the two submissions, so the work does not run twice.
func (d *Daemon) forwardKeyed(ctx context.Context, address string, request *route.Request, w http.ResponseWriter) error {
	body, err := newRequestBody(ctx, request)
	if err != nil {
		// An earlier submission may have run, and only the home can rule that out.
		return d.bodyFault(err).WithVerdict(fault.MayHaveRun)
	}
	request.Body = body.take()
	err = d.forward(ctx, address, request, w)
	if ctx.Err() != nil || !isUnanswered(err) || !body.canBeTaken() {
		return err
	}
	request.Body = body.take()
	return d.forward(ctx, address, request, w)
}

// fingerprint identifies the service, method and URI of a request, to detect a key that is used for different requests.
func fingerprint(request *route.Request) uint64 {
	return xxhash.Sum64String(request.Service + "\x00" + request.Method + "\x00" + request.URI)
}

// serveKeyed serves a submission whose home is this host incarnation: the first
// submission of a key runs, and later ones get its answer.
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
			if err := d.waitForEarlier(ctx, request, wait); err != nil {
				return err
			}
		case settle.Replay:
			d.counters.replays.Inc()
			d.events.Add(event.Event{Kind: "AnswerReplayed", Service: request.Service, Request: request.ID, Cause: key.String()})
			return writeReplayed(w, request, &answer)
		case settle.Full:
			return fault.New(fault.MayHaveRun, http.StatusServiceUnavailable, "KeysFull")
		case settle.Mismatch:
			return fault.New(fault.NotRun, http.StatusUnprocessableEntity, "KeyOfAnotherRequest")
		default:
			// The actions Forgotten and Foreign remain, whose names are the reasons. The
			// record of the key may have expired, or this home has not yet reached the
			// counter of the key.
			return fault.New(fault.MayHaveRun, http.StatusConflict, action.String())
		}
	}
}

// waitForEarlier waits until the first submission of the key has ended, which closes wait.
func (d *Daemon) waitForEarlier(ctx context.Context, request *route.Request, wait <-chan struct{}) error {
	d.events.Add(event.Event{Kind: "RequestJoined", Service: request.Service, Request: request.ID, Cause: "an earlier submission is still running"})
	if wait == nil {
		return nil
	}
	select {
	case <-wait:
		return nil
	case <-d.requestsEnded:
		return stoppingFault().WithVerdict(fault.MayHaveRun)
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.MayHaveRun, http.StatusGatewayTimeout, choose.ReasonDeadline)
	}
}

// runKeyed runs the first submission of a key. It continues if the caller disconnects,
// because the answer is needed for later submissions.
func (d *Daemon) runKeyed(ctx context.Context, request *route.Request, key settle.Key, w http.ResponseWriter) error {
	answer := bodilessAnswer(fault.New(fault.MayHaveRun, http.StatusBadGateway, "Internal"))
	// The answer is recorded even if the run panics, then with the verdict MayHaveRun.
	defer func() { d.finishKey(key, answer) }()
	s, err := d.lookupService(request)
	if err != nil {
		answer = bodilessAnswer(route.AsFault(err))
		return err
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), request.Deadline)
	defer cancel()
	d.mu.Lock()
	answerRecorder := &recorder{client: w, limit: s.document.AnswerBytesRemembered}
	d.mu.Unlock()
	err = s.serveRequest(ctx, request, answerRecorder)
	answer = answerRecorder.answer(err)
	return err
}

// finishKey records the answer of a key and releases the submissions that wait for it.
func (d *Daemon) finishKey(key settle.Key, answer settle.Outcome) {
	d.keysMu.Lock()
	defer d.keysMu.Unlock()
	d.keys.Finish(key, answer)
	close(d.keyDone[key.String()])
	delete(d.keyDone, key.String())
}

// writeReplayed writes the remembered answer of an earlier submission to w. It returns
// a *fault.Error if that submission failed or its answer was not remembered.
func writeReplayed(w http.ResponseWriter, request *route.Request, answer *settle.Outcome) error {
	w.Header().Set(header.Replayed, "true")
	if answer.BodyDropped {
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

// bodilessAnswer returns the answer without a body that is remembered for a request that
// failed or whose own answer cannot be remembered.
func bodilessAnswer(failed *fault.Error) settle.Outcome {
	return settle.Outcome{Verdict: failed.Verdict, Status: failed.Status, Reason: failed.Reason, BodyDropped: true}
}

// recorder is an http.ResponseWriter that sends an answer to the client and buffers it
// up to limit bytes. It ignores errors of the client, because the whole answer must be
// recorded in any case.
type recorder struct {
	client   http.ResponseWriter
	limit    int
	status   int
	body     bytes.Buffer
	overflow bool
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header {
	return r.client.Header()
}

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.client.WriteHeader(status)
}

// Write implements http.ResponseWriter; the error is always nil.
func (r *recorder) Write(p []byte) (int, error) {
	if r.body.Len()+len(p) > r.limit {
		r.overflow = true
	}
	if !r.overflow {
		r.body.Write(p)
	}
	_, _ = r.client.Write(p)
	return len(p), nil
}

// answer returns the answer to remember after a run that ended with err.
func (r *recorder) answer(err error) settle.Outcome {
	if r.status == 0 {
		return bodilessAnswer(route.AsFault(err))
	}
	answer := settle.Outcome{Verdict: fault.ParseVerdict(r.Header().Get(header.Verdict)), Status: r.status}
	if err != nil || r.overflow {
		return bodilessAnswer(fault.New(answer.Verdict, http.StatusConflict, "AnswerNotRemembered"))
	}
	for name, values := range r.Header() {
		for _, value := range values {
			answer.Headers = append(answer.Headers, [2]string{name, value})
		}
	}
	answer.Body = bytes.Clone(r.body.Bytes())
	return answer
}
