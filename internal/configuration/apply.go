package configuration

import (
	"context"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Apply replaces or removes the files of the request. The request names the revision that the
// operator has read. Errors: Invalid, with all mistakes in the files, if the result is not
// valid; Invalid if the base revision does not exist yet, and NotFound if the store no longer
// holds it; Conflict, with the difference, if one of the files was changed after that revision;
// and those of the store, such as Unavailable or Ambiguous. If another operator writes the next
// revision first, Apply starts again. The calls to the store may take 10 s in total.
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
			_ = c.Activate(next, contents)
			return &wire.ApplyResponse{Revision: next.GetRevision(), Changed: changed}, nil
		}
	}
}

// checkBase returns a Conflict error if a file of the request was changed after the base
// revision, unless it already has the requested content. It returns Invalid if the base
// revision does not exist yet.
func (c *Configuration) checkBase(ctx context.Context, req *wire.ApplyRequest, newest *wire.Manifest, contents map[string][]byte) error {
	if req.GetBaseRevision() > newest.GetRevision() {
		return errkind.Invalid.New("read the revision in force with `eelgrasstide config show`", "Configuration.Apply: the base revision %d does not exist yet", req.GetBaseRevision())
	}
	base, err := c.ManifestAt(ctx, req.GetBaseRevision())
	if err != nil {
		return err
	}
	baseDigests, newestDigests := digests(base), digests(newest)
	for _, file := range req.GetFiles() {
		name := file.GetName()
		if baseDigests[name] != newestDigests[name] && newestDigests[name] != digest(file.GetContent()) {
			return errkind.Conflict.New("run `eelgrasstide config show`, merge the change into your file, and apply it to the new revision",
				"Configuration.Apply: file %s was changed between revisions %d and %d:\n%s", name, req.GetBaseRevision(), newest.GetRevision(),
				difference(name, contents[newestDigests[name]], file.GetContent()))
		}
	}
	return nil
}
