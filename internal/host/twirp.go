package host

import (
	"context"

	"github.com/eelgrasstide/eelgrasstide/internal/dispatcher"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// peerService answers other hosts.
type peerService struct{ host *Host }

// Heartbeat implements wire.Host.
func (s *peerService) Heartbeat(_ context.Context, req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	return s.host.membership.Answer(req), nil
}

// Lookup implements wire.Host. It answers only for tickets that this host holds.
func (s *peerService) Lookup(ctx context.Context, req *wire.LookupRequest) (*wire.WorkResponse, error) {
	if answer, ok := s.host.findHere(ctx, req.GetTicket(), min(req.GetWait().AsDuration(), maxWait)); ok {
		return answer, nil
	}
	if dispatcher.Owner(req.GetTicket()) == s.host.incarnation {
		return s.host.locate(ctx, req.GetTicket(), 0), nil
	}
	return unreachable(req.GetTicket()), nil
}

// Forward implements wire.Host. It serves a request whose ticket this host issued.
func (s *peerService) Forward(ctx context.Context, req *wire.WorkRequest) (*wire.WorkResponse, error) {
	if dispatcher.Owner(req.GetTicket()) != s.host.incarnation {
		return unreachable(req.GetTicket()), nil
	}
	return s.host.serveHere(ctx, req), nil
}

// Manifest implements wire.Host. It is empty unless this host's revision is higher.
func (s *peerService) Manifest(_ context.Context, req *wire.ManifestRequest) (*wire.ManifestResponse, error) {
	manifest, contents := s.host.configuration.Manifest()
	if manifest.GetRevision() <= req.GetAbove() {
		return &wire.ManifestResponse{}, nil
	}
	return &wire.ManifestResponse{Manifest: manifest, Contents: contents}, nil
}
