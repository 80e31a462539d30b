package host

import (
	"context"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/configuration"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const probeTimeout = time.Second

// getHosts lists the known hosts. Each is asked for its configuration revision; one that does
// not answer within 1 s is listed as not alive.
func (h *Host) getHosts(c iris.Context) {
	_ = h.membership.RefreshHosts(c.Request().Context())
	records := h.membership.KnownHosts()
	out := &wire.HostsView{Hosts: make([]*wire.HostView, len(records))}
	var probes sync.WaitGroup
	for i, record := range records {
		probes.Go(func() { out.Hosts[i] = h.probe(c.Request().Context(), record) })
	}
	probes.Wait()
	sort.Slice(out.Hosts, func(i, j int) bool { return out.Hosts[i].GetName() < out.Hosts[j].GetName() })
	reply(c, http.StatusOK, out)
}

func (h *Host) probe(ctx context.Context, record *wire.HostRecord) *wire.HostView {
	view := &wire.HostView{Name: record.GetName(), Zone: record.GetZone(), Address: record.GetAddress(), Incarnation: record.GetIncarnation(), Leaving: record.GetLeaving()}
	if record.GetIncarnation() == h.incarnation {
		view.Alive, view.ConfigurationRevision = true, h.configuration.Revision()
		return view
	}
	address, err := netip.ParseAddrPort(record.GetAddress())
	if err != nil {
		return view
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if answer, err := h.peers.Host(address).Heartbeat(ctx, &wire.HeartbeatRequest{}); err == nil {
		view.Alive, view.ConfigurationRevision = true, answer.GetConfigurationRevision()
	}
	return view
}

func (h *Host) getTargets(c iris.Context) {
	out := &wire.TargetsView{}
	for _, view := range h.dispatcher.Runners() {
		out.Targets = append(out.Targets, &wire.TargetView{
			Name: view.Name, Zone: h.Settings.GetZone(), Kind: "runner", Address: view.Address.String(), State: view.State,
			InFlight: int32(view.InFlight), ServiceTime: durationpb.New(time.Duration(view.Slowness * float64(time.Second))),
		})
	}
	out.Targets = append(out.Targets, h.planner.WorkerViews()...)
	reply(c, http.StatusOK, out)
}

func (h *Host) getOrganisations(c iris.Context) {
	out := &wire.OrganisationsView{}
	for name, organisation := range h.configuration.Current().Organisations {
		queued, unfinished := h.dispatcher.Load(name)
		view := &wire.OrganisationView{Name: name, Weight: organisation.GetWeight(), Queued: int32(queued), InFlight: int32(unfinished)}
		for shape := range organisation.GetGuarantees() {
			view.Guarantees = append(view.Guarantees, shape)
		}
		for _, shortfall := range h.planner.Shortfalls() {
			if shortfall.Organisation == name {
				view.Shortfalls = append(view.Shortfalls, shortfall.Shape+": "+shortfall.Reason)
			}
		}
		sort.Strings(view.Guarantees)
		out.Organisations = append(out.Organisations, view)
	}
	sort.Slice(out.Organisations, func(i, j int) bool { return out.Organisations[i].GetName() < out.Organisations[j].GetName() })
	reply(c, http.StatusOK, out)
}

func (h *Host) getConfiguration(c iris.Context) {
	manifest, contents := h.configuration.Manifest()
	if text := c.URLParam("revision"); text != "" {
		revision, err := configuration.ParseRevision(text)
		if err == nil {
			manifest, contents, err = h.configuration.ReadRevision(c.Request().Context(), revision)
		}
		if err != nil {
			replyError(c, err)
			return
		}
	}
	out := &wire.ConfigurationView{Manifest: manifest}
	for _, reference := range manifest.GetFiles() {
		out.Files = append(out.Files, &wire.ConfigurationFileBody{Name: reference.GetName(), Content: contents[reference.GetDigest()]})
	}
	reply(c, http.StatusOK, out)
}

func (h *Host) getHistory(c iris.Context) {
	manifests, err := h.configuration.History(c.Request().Context())
	if err != nil {
		replyError(c, err)
		return
	}
	reply(c, http.StatusOK, &wire.HistoryView{Manifests: manifests})
}

func (h *Host) postConfiguration(c iris.Context) {
	req := &wire.ApplyRequest{}
	err := decode(c, req)
	var answer *wire.ApplyResponse
	if err == nil {
		answer, err = h.configuration.Apply(c.Request().Context(), req)
	}
	if err != nil {
		replyError(c, err)
		return
	}
	reply(c, http.StatusOK, answer)
}

// getMetrics writes all metrics as JSON, after it has set the gauges to current values.
func (h *Host) getMetrics(c iris.Context) {
	gauge := func(name string, value int64) { metrics.GetOrRegisterGauge(name, h.registry).Update(value) }
	commits, records := h.journal.Counts()
	gauge("journal.commits", commits)
	gauge("journal.records", records)
	gauge("configuration.revision", h.configuration.Revision())
	epoch, _ := h.leadership.Epoch()
	gauge("planner.epoch", epoch)
	passes, mean := h.planner.PassStats()
	gauge("planner.passes", passes)
	gauge("planner.passMicroseconds", mean.Microseconds())
	writable := int64(0)
	if h.store.Writable() {
		writable = 1
	}
	gauge("store.writable", writable)
	c.ContentType("application/json")
	c.Header("Cache-Control", "no-store")
	metrics.WriteJSONOnce(h.registry, c.ResponseWriter())
}
