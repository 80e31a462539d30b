package host

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/apex/log"
	"github.com/kataras/iris/v12"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// cordonsChanged applies the cordons to what this host starts.
func (h *Host) cordonsChanged() {
	h.dispatcher.SetCordoned(h.zones.Cordon(h.Settings.GetZone()) != nil)
	h.planner.Wake()
}

// zoneExists reports whether a zone is this host's or in the configuration.
func (h *Host) zoneExists(zone string) bool {
	return zone == h.Settings.GetZone() || h.configuration.Current().Zones[zone] != nil
}

// plan runs the planner, which must know the cordons before it starts a job.
func (h *Host) plan(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-h.zones.Known():
	}
	return h.planner.Run(ctx)
}

func (h *Host) getCordons(c iris.Context) {
	reply(c, http.StatusOK, &wire.CordonsView{Cordons: h.zones.Cordons()})
}

// postCordon cordons a zone or lifts its cordon, and logs who asked for it.
func (h *Host) postCordon(c iris.Context) {
	req := &wire.CordonRequest{}
	err := decode(c, req)
	if err == nil {
		err = h.checkZone(req.GetZone())
	}
	var answer *wire.CordonResponse
	if err == nil {
		answer, err = h.zones.Request(c.Request().Context(), req)
	}
	event := "host: an operator cordons a zone"
	if req.GetLift() {
		event = "host: an operator uncordons a zone"
	}
	fields := log.Fields{"zone": req.GetZone(), "operator": req.GetOperator(), "from": c.Request().RemoteAddr, "changed": answer.GetChanged()}
	if err != nil {
		h.log.WithFields(fields).WithError(err).Warn(event + ", but the request failed")
		replyError(c, err)
		return
	}
	h.log.WithFields(fields).WithField("revision", answer.GetCordon().GetRevision()).Info(event)
	reply(c, http.StatusOK, answer)
}

// checkZone returns an Invalid error for a zone that this host knows neither from the configuration nor
// from the known hosts, nor as cordoned.
func (h *Host) checkZone(zone string) error {
	known := []string{h.Settings.GetZone()}
	for name := range h.configuration.Current().Zones {
		known = append(known, name)
	}
	for _, record := range h.membership.KnownHosts() {
		known = append(known, record.GetZone())
	}
	for _, record := range h.zones.Cordons() {
		known = append(known, record.GetZone())
	}
	if slices.Contains(known, zone) {
		return nil
	}
	slices.Sort(known)
	return errkind.Invalid.New("use one of the known zones: "+strings.Join(slices.Compact(known), ", "), "Host.checkZone: no host is in zone %q and the configuration does not name it", zone)
}
