package dispatcher

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

const (
	// KeyPrefix is the store prefix of the callers' idempotency keys.
	KeyPrefix  = "key/"
	keyTimeout = 2 * time.Second
)

// submitKeyed binds the caller's key to one ticket in the store, so that a repeated request on
// any host finds the first one. While the store is unavailable nothing is dispatched.
func (d *Dispatcher) submitKeyed(ctx context.Context, w *work, req *wire.WorkRequest) (string, outcome.Outcome) {
	if !d.Store.Writable() {
		return w.ticket, storeUnavailable()
	}
	if w.ticket == "" {
		w.ticket = d.Ticket()
	}
	ticket, claimed, refused := d.ClaimKey(ctx, w.ticket, req)
	switch {
	case refused != nil:
		if ticket == w.ticket {
			d.recordNotRun(w, outcome.NotRun{Reason: "the platform's store was unavailable", Remedy: "send the request again"})
		}
		return ticket, refused
	case !claimed:
		return ticket, nil
	}
	ticket, out := d.accept(ctx, w)
	if notRun, ok := out.(outcome.NotRun); ok {
		d.recordNotRun(w, notRun)
	}
	return ticket, out
}

// ClaimKey binds the request's key to a ticket. It returns the ticket that holds the key and
// whether that is the given one, or a non-nil outcome that ends the request.
func (d *Dispatcher) ClaimKey(ctx context.Context, ticket string, req *wire.WorkRequest) (holder string, claimed bool, refused outcome.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	put, err := keyPut(ticket, req)
	if err != nil {
		return ticket, false, outcome.NotRun{Reason: err.Error(), Remedy: "report this as a defect"}
	}
	for {
		result, err := d.Store.Put(ctx, store.Serving, put)
		if err != nil {
			return ticket, false, storeUnavailable()
		}
		if result.Applied {
			return ticket, true, nil
		}
		first := &wire.KeyRecord{}
		if err := proto.Unmarshal(result.Current.GetValue(), first); err != nil {
			return ticket, false, outcome.NotRun{Reason: "the stored record of the key can't be decoded", Remedy: "use another key"}
		}
		if string(first.GetDigest()) != string(requestDigest(req)) {
			return first.GetTicket(), false, outcome.NotRun{Reason: "the key was already used for a different request", Remedy: "use a new key for each request"}
		}
		if !d.knownNotRun(ctx, ticket, first) {
			return first.GetTicket(), false, nil
		}
		put.ExpectedRevision = result.Current.GetRevision()
	}
}

// storeUnavailable is the outcome of a keyed submission that dispatched nothing because the
// store is unavailable. It is unknown and not "not run", because an earlier submission with the
// same key may have run.
func storeUnavailable() outcome.Outcome {
	return outcome.Unknown{
		Reason: "the platform's store accepts no writes, so it is not known whether an earlier request with this key ran; this one was not dispatched",
		Remedy: "repeat the request later with the same key, which is safe; during the outage, send new requests with a ticket from POST /v1/tickets instead of a key",
	}
}

func keyPut(ticket string, req *wire.WorkRequest) (*wire.PutRequest, error) {
	name := sha256.Sum256([]byte(req.GetKey()))
	value, err := proto.Marshal(&wire.KeyRecord{Ticket: ticket, Token: rand.Text(), Digest: requestDigest(req), At: timestamppb.Now()})
	if err != nil {
		return nil, errkind.Invalid.New("report this as a defect", "dispatcher.keyPut: the key record can't be encoded: %v", err)
	}
	return &wire.PutRequest{Key: KeyPrefix + req.GetOrganisation() + "/" + hex.EncodeToString(name[:]), Value: value}, nil
}

func requestDigest(req *wire.WorkRequest) []byte {
	sum := sha256.Sum256(append([]byte(req.GetClass()+"\x00"), req.GetPayload()...))
	return sum[:]
}

// knownNotRun reports whether the first request of a key is known not to have run, so that
// another ticket may take the key.
func (d *Dispatcher) knownNotRun(ctx context.Context, ticket string, first *wire.KeyRecord) bool {
	if first.GetTicket() == ticket || d.Locate == nil {
		return false
	}
	_, notRun := d.Locate(ctx, first.GetTicket()).(outcome.NotRun)
	return notRun
}

// recordNotRun records that a ticket did not run. Its key may be in the store, and a repeated
// request with that key looks up this ticket. A registered request has its outcome already.
func (d *Dispatcher) recordNotRun(w *work, out outcome.NotRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.requests[w.ticket]; ok {
		return
	}
	delete(d.issued, w.ticket)
	w.out, w.ended = out, time.Now()
	close(w.done)
	d.requests[w.ticket] = w
	d.retain(w)
	dropPayload(w)
}
