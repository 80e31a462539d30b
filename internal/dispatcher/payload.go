package dispatcher

import "github.com/eelgrasstide/eelgrasstide/internal/wire"

// withoutPayload returns a request without its payload, for as long as its ticket is retained.
func withoutPayload(req *wire.WorkRequest) *wire.WorkRequest {
	return &wire.WorkRequest{
		Organisation: req.GetOrganisation(), Class: req.GetClass(), Key: req.GetKey(), Ticket: req.GetTicket(),
		Declared: req.GetDeclared(), Deadline: req.GetDeadline(), Wait: req.GetWait(),
	}
}

// reservePayload takes the memory for the payload and reports whether there is any. Only large payloads are
// counted for their organisation. The lock is held.
func (d *Dispatcher) reservePayload(w *work) bool {
	if d.Payloads == nil {
		return true
	}
	var holders []string
	if int64(len(w.payload)) > d.Payloads.SmallBytes {
		holders = append(holders, "organisation:"+w.req.GetOrganisation())
	}
	reserved, ok := d.Payloads.Reserve(int64(len(w.payload)), holders...)
	if ok {
		w.releasePayload = reserved.Release
	}
	return ok
}

// dropPayload gives up the payload of a request that has ended and has no dispatch in progress. The lock
// is held.
func dropPayload(w *work) {
	if !w.finished() || w.activeDispatches > 0 {
		return
	}
	w.payload = nil
	if w.releasePayload != nil {
		w.releasePayload()
	}
}
