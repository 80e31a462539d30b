package dispatcher

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

const (
	// KeyPrefix is where the store holds the callers' keys.
	KeyPrefix  = "key/"
	keyTimeout = 2 * time.Second
)

// submitKeyed ties the caller's key to one ticket in the store, so that a repeat
// on any host finds the first request. Without the store nothing is dispatched.
func (d *Dispatcher) submitKeyed(ctx context.Context, w *work) (string, outcome.Outcome) {
	if !d.Store.Writable() {
		return w.ticket, storeDown()
	}
	if w.ticket == "" {
		w.ticket = d.Ticket()
	}
	ticket, claimed, refused := d.Claim(ctx, w.ticket, w.req)
	switch {
	case refused != nil:
		if ticket == w.ticket {
			d.abandon(w)
		}
		return ticket, refused
	case !claimed:
		return ticket, nil
	}
	return d.accept(ctx, w)
}

// Claim ties the request's key to a ticket. It returns the ticket that holds the
// key, and whether that is the given one; or an outcome that ends the request.
func (d *Dispatcher) Claim(ctx context.Context, ticket string, req *wire.WorkRequest) (holder string, claimed bool, refused outcome.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	put, err := keyWrite(ticket, req)
	if err != nil {
		return ticket, false, outcome.NotRun{Reason: err.Error(), Remedy: "report this as a defect"}
	}
	for {
		result, err := d.Store.Put(ctx, store.Serving, put)
		if err != nil {
			return ticket, false, storeDown()
		}
		if result.Applied {
			return ticket, true, nil
		}
		first := &wire.KeyRecord{}
		if err := proto.Unmarshal(result.Current.GetValue(), first); err != nil {
			return ticket, false, outcome.NotRun{Reason: "the key's record can't be read", Remedy: "use another key"}
		}
		if string(first.GetDigest()) != string(digest(req)) {
			return first.GetTicket(), false, outcome.NotRun{Reason: "the key belongs to another request", Remedy: "choose a new key for each request"}
		}
		if !d.replaceable(ctx, ticket, first) {
			return first.GetTicket(), false, nil
		}
		put.ExpectedRevision = result.Current.GetRevision()
	}
}

// storeDown ends a try that dispatched nothing. The key may still belong to an
// earlier try that ran, so "not run" would be more than this host knows.
func storeDown() outcome.Outcome {
	return outcome.Unknown{
		Reason: "the platform's store accepts no writes, and the key's history can't be known; this try dispatched nothing",
		Remedy: "repeat it with the same key later, which is safe; in an outage, new requests go with a ticket from POST /v1/tickets",
	}
}

func keyWrite(ticket string, req *wire.WorkRequest) (*wire.PutRequest, error) {
	name := sha256.Sum256([]byte(req.GetKey()))
	value, err := proto.Marshal(&wire.KeyRecord{Ticket: ticket, Token: rand.Text(), Digest: digest(req), At: timestamppb.Now()})
	if err != nil {
		return nil, fault.Invalid.New("report this as a defect", "keyWrite: %v", err)
	}
	return &wire.PutRequest{Key: KeyPrefix + req.GetOrganisation() + "/" + hex.EncodeToString(name[:]), Value: value}, nil
}

func digest(req *wire.WorkRequest) []byte {
	sum := sha256.Sum256(append([]byte(req.GetClass()+"\x00"), req.GetPayload()...))
	return sum[:]
}

// replaceable reports whether the first request of a key surely did not run.
func (d *Dispatcher) replaceable(ctx context.Context, ticket string, first *wire.KeyRecord) bool {
	if first.GetTicket() == ticket || d.Locate == nil {
		return false
	}
	_, notRun := d.Locate(ctx, first.GetTicket()).(outcome.NotRun)
	return notRun
}

// abandon records that a ticket whose key may be in the store did not run.
func (d *Dispatcher) abandon(w *work) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.issued, w.ticket)
	w.out, w.ended = outcome.NotRun{Reason: "the platform's store was down", Remedy: "send the request again"}, time.Now()
	close(w.done)
	d.works[w.ticket] = w
	d.remember(w)
}
