package configuration

import (
	"context"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Apply replaces the files named, on the revision that the operator has seen.
// Errors: Invalid with every mistake; Conflict with the difference when a named
// file has changed since; Unavailable or Ambiguous from the store.
func (c *Configuration) Apply(ctx context.Context, req *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for {
		manifest, _, err := c.newest(ctx)
		if err != nil {
			return nil, err
		}
		contents, err := c.fetch(ctx, manifest)
		if err != nil {
			return nil, err
		}
		if err := c.checkBase(ctx, req, manifest, contents); err != nil {
			return nil, err
		}
		next, changed := replace(manifest, contents, req)
		if len(changed) == 0 {
			return &wire.ApplyResponse{Revision: manifest.GetRevision()}, nil
		}
		if _, err := merge(next, contents); err != nil {
			return nil, err
		}
		written, err := c.write(ctx, next, contents, changed)
		if err != nil {
			return nil, err
		}
		if written {
			_ = c.Adopt(next, contents)
			return &wire.ApplyResponse{Revision: next.GetRevision(), Changed: changed}, nil
		}
	}
}

// checkBase refuses to replace a file that someone else changed after the base.
func (c *Configuration) checkBase(ctx context.Context, req *wire.ApplyRequest, now *wire.Manifest, contents map[string][]byte) error {
	if req.GetBaseRevision() > now.GetRevision() {
		return fault.Invalid.New("read the revision with `eelgrasstide config show`", "Configuration.Apply: revision %d does not exist yet", req.GetBaseRevision())
	}
	base, err := c.At(ctx, req.GetBaseRevision())
	if err != nil {
		return err
	}
	before, current := digests(base), digests(now)
	for _, file := range req.GetFiles() {
		name := file.GetName()
		if before[name] != current[name] && current[name] != digest(file.GetContent()) {
			return fault.Conflict.New("run `eelgrasstide config show`, merge the change into your file, and apply it on the new revision",
				"Configuration.Apply: %s was changed between revision %d and %d:\n%s", name, req.GetBaseRevision(), now.GetRevision(),
				difference(name, contents[current[name]], file.GetContent()))
		}
	}
	return nil
}
