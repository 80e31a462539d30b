package host

import (
	"context"

	"github.com/eelgrasstide/eelgrasstide/internal/dispatcher"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// peerService serves the calls of other hosts.
type peerService struct{ host *Host }

// Heartbeat implements wire.Host.
func (s *peerService) Heartbeat(_ context.Context, req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	return s.host.membership.HandleHeartbeat(req), nil
}

// Lookup implements wire.Host. It returns the state of a request that this host holds or whose
// ticket it issued; for others it returns that the host of the request is unreachable.
func (s *peerService) Lookup(ctx context.Context, req *wire.LookupRequest) (*wire.WorkResponse, error) {
	if answer, ok := s.host.findLocal(ctx, req.GetTicket(), min(req.GetWait().AsDuration(), maxWait)); ok {
		return answer, nil
	}
	if dispatcher.IssuingIncarnation(req.GetTicket()) == s.host.incarnation {
		return s.host.locate(ctx, req.GetTicket(), 0), nil
	}
	return unreachable(req.GetTicket()), nil
}

// Forward implements wire.Host. It serves a request whose ticket this host issued; for others
// it returns that the host of the request is unreachable.
func (s *peerService) Forward(ctx context.Context, req *wire.WorkRequest) (*wire.WorkResponse, error) {
	if dispatcher.IssuingIncarnation(req.GetTicket()) != s.host.incarnation {
		return unreachable(req.GetTicket()), nil
	}
	return s.host.serveLocal(ctx, req), nil
}

// Manifest implements wire.Host. The response is empty unless this host's configuration
// revision is higher than the one in the request.
func (s *peerService) Manifest(_ context.Context, req *wire.ManifestRequest) (*wire.ManifestResponse, error) {
	manifest, contents := s.host.configuration.Manifest()
	if manifest.GetRevision() <= req.GetAbove() {
		return &wire.ManifestResponse{}, nil
	}
	return &wire.ManifestResponse{Manifest: manifest, Contents: contents}, nil
}
