// Package configuration reads and applies the operators' configuration. A revision is a
// manifest in the store. It is written only if the key of its number is absent, so that the
// accepted revisions form one ascending sequence and none is overwritten.
package configuration

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/decoder"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/rules"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	revisionPrefix = "configuration/revision/"
	filePrefix     = "configuration/file/"
	watchTimeout   = 30 * time.Second
	minWatchRetry  = 500 * time.Millisecond
	maxWatchRetry  = 5 * time.Second
	applyTimeout   = 10 * time.Second
	// HistoryLength is the number of revisions that the store keeps.
	HistoryLength    = 200
	diffContextLines = 2
)

// Configuration holds the revision that is in force on one host. Set the exported fields
// before Run.
type Configuration struct {
	Store *store.Store
	// OnChange is called after a revision comes into force; it may be nil.
	OnChange func(*rules.Rules)

	mu       sync.Mutex
	current  *rules.Rules
	manifest *wire.Manifest
	contents map[string][]byte
}

// Current returns the rules in force, or empty rules of revision 0 if there are none yet.
func (c *Configuration) Current() *rules.Rules {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return &rules.Rules{}
	}
	return c.current
}

// Revision returns the number of the revision in force, or 0 if there is none yet.
func (c *Configuration) Revision() int64 { return c.Current().Revision }

// Manifest returns the manifest in force, or nil if there is none yet, and the contents of its
// files by digest.
func (c *Configuration) Manifest() (*wire.Manifest, map[string][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.manifest, c.contents
}

// Run watches the store for new revisions until ctx ends and returns the error of ctx. During
// an outage of the store the rules in force stay, and a read is retried after 0.5 s to 5 s.
func (c *Configuration) Run(ctx context.Context) error {
	retryDelay, after := minWatchRetry, int64(-1)
	for ctx.Err() == nil {
		next, err := c.follow(ctx, after)
		if err == nil {
			retryDelay, after = minWatchRetry, next
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
		retryDelay = min(2*retryDelay, maxWatchRetry)
	}
	return ctx.Err()
}

// follow waits up to 30 s for a revision that was written after a store revision, and puts it
// in force. With after below 0 it reads the newest revision instead. It returns the store
// revision to continue from.
func (c *Configuration) follow(ctx context.Context, after int64) (int64, error) {
	if after < 0 {
		return c.Refresh(ctx)
	}
	changes, err := c.Store.Watch(ctx, revisionPrefix, after, watchTimeout)
	if err != nil {
		return after, err
	}
	newest := &wire.Manifest{}
	for _, found := range changes.GetEntries() {
		manifest := &wire.Manifest{}
		if proto.Unmarshal(found.GetValue(), manifest) == nil && manifest.GetRevision() > newest.GetRevision() {
			newest = manifest
		}
	}
	if err := c.fetchAndActivate(ctx, newest); err != nil {
		return after, err
	}
	return max(after, changes.GetRevision()), nil
}

// Refresh reads the newest revision from the store and puts it in force. It returns the store
// revision of the read, or -1 with an error if the newest manifest cannot be read. Errors:
// Invalid for a revision that cannot be put in force, and those of the store.
func (c *Configuration) Refresh(ctx context.Context) (int64, error) {
	manifest, revision, err := c.newest(ctx)
	if err != nil {
		return -1, err
	}
	return revision, c.fetchAndActivate(ctx, manifest)
}

func (c *Configuration) newest(ctx context.Context) (*wire.Manifest, int64, error) {
	listed, err := c.Store.Keys(ctx, store.Serving, revisionPrefix)
	if err != nil {
		return nil, 0, err
	}
	manifest := &wire.Manifest{}
	if count := len(listed.GetEntries()); count > 0 {
		found, err := c.Store.Get(ctx, store.Serving, listed.GetEntries()[count-1].GetKey())
		if err != nil {
			return nil, 0, err
		}
		if err := proto.Unmarshal(found.GetValue(), manifest); err != nil {
			return nil, 0, errkind.Invalid.New("apply the configuration folder again", "Configuration.newest: the manifest cannot be decoded: %v", err)
		}
	}
	return manifest, listed.GetRevision(), nil
}

func revisionKey(revision int64) string { return fmt.Sprintf("%s%012d", revisionPrefix, revision) }

// fetchAndActivate reads the files of a manifest and puts it in force. A manifest that is not
// higher than the one in force is ignored.
func (c *Configuration) fetchAndActivate(ctx context.Context, manifest *wire.Manifest) error {
	if manifest.GetRevision() <= c.Revision() {
		return nil
	}
	contents, err := c.fetch(ctx, manifest)
	if err != nil {
		return err
	}
	return c.Activate(manifest, contents)
}

// Activate puts a manifest in force if its revision is higher than the one in force. Each file
// is checked against its digest, because the contents may come from a peer. Errors are
// Invalid.
func (c *Configuration) Activate(manifest *wire.Manifest, contents map[string][]byte) error {
	merged, err := merge(manifest, contents)
	if err != nil {
		return err
	}
	c.mu.Lock()
	higher := c.current == nil || manifest.GetRevision() > c.current.Revision
	if higher {
		c.current, c.manifest, c.contents = merged, manifest, contents
	}
	c.mu.Unlock()
	if higher && c.OnChange != nil {
		c.OnChange(merged)
	}
	return nil
}

func merge(manifest *wire.Manifest, contents map[string][]byte) (*rules.Rules, error) {
	files := make([]rules.File, 0, len(manifest.GetFiles()))
	for _, reference := range manifest.GetFiles() {
		text, ok := contents[reference.GetDigest()]
		if !ok || digest(text) != reference.GetDigest() {
			return nil, errkind.Invalid.New("read the revision from the store", "configuration.merge: the contents of file %s are missing or do not match their digest", reference.GetName())
		}
		files = append(files, rules.File{Name: reference.GetName(), Text: text})
	}
	merged, problems := rules.Merge(manifest.GetRevision(), files)
	return merged, decoder.Err(problems)
}

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// fetch returns the contents of a manifest's files by digest. Only files that the revision in
// force does not have are read from the store. Errors: Unavailable if the store does not have
// a file yet.
func (c *Configuration) fetch(ctx context.Context, manifest *wire.Manifest) (map[string][]byte, error) {
	_, inForce := c.Manifest()
	out := map[string][]byte{}
	for _, reference := range manifest.GetFiles() {
		sum := reference.GetDigest()
		if text, ok := inForce[sum]; ok {
			out[sum] = text
			continue
		}
		found, err := c.Store.Get(ctx, store.Serving, filePrefix+sum)
		if err != nil {
			return nil, err
		}
		if digest(found.GetValue()) != sum {
			return nil, errkind.Unavailable.New("wait until the store returns the file", "Configuration.fetch: file %s with the digest of its manifest is not in the store yet", reference.GetName())
		}
		out[sum] = found.GetValue()
	}
	return out, nil
}

// ManifestAt returns the manifest of a revision, or an empty manifest for revision 0. Errors:
// NotFound if the store does not hold the revision, and those of the store.
func (c *Configuration) ManifestAt(ctx context.Context, revision int64) (*wire.Manifest, error) {
	if revision == 0 {
		return &wire.Manifest{}, nil
	}
	found, err := c.Store.Get(ctx, store.Serving, revisionKey(revision))
	if err != nil {
		return nil, err
	}
	manifest := &wire.Manifest{}
	if found.GetRevision() == 0 || proto.Unmarshal(found.GetValue(), manifest) != nil {
		return nil, errkind.NotFound.New("use a revision that `eelgrasstide config history` lists", "Configuration.ManifestAt: revision %d is not in the store", revision)
	}
	return manifest, nil
}

// ReadRevision returns the manifest of a revision and the contents of its files by digest.
// Errors: NotFound if the store does not hold the revision, and those of the store.
func (c *Configuration) ReadRevision(ctx context.Context, revision int64) (*wire.Manifest, map[string][]byte, error) {
	manifest, err := c.ManifestAt(ctx, revision)
	if err != nil {
		return nil, nil, err
	}
	contents, err := c.fetch(ctx, manifest)
	return manifest, contents, err
}

// History returns the manifests in the store, newest last. Manifests that cannot be decoded
// are left out. Errors are those of the store.
func (c *Configuration) History(ctx context.Context) ([]*wire.Manifest, error) {
	listed, err := c.Store.List(ctx, store.Serving, revisionPrefix)
	if err != nil {
		return nil, err
	}
	var out []*wire.Manifest
	for _, found := range listed.GetEntries() {
		manifest := &wire.Manifest{}
		if proto.Unmarshal(found.GetValue(), manifest) == nil {
			out = append(out, manifest)
		}
	}
	return out, nil
}

func digests(manifest *wire.Manifest) map[string]string {
	out := map[string]string{}
	for _, reference := range manifest.GetFiles() {
		out[reference.GetName()] = reference.GetDigest()
	}
	return out
}

func difference(name string, current, requested []byte) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(current)), B: difflib.SplitLines(string(requested)),
		FromFile: name + " (in force)", ToFile: name + " (to be applied)", Context: diffContextLines,
	})
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(text)
}

// replace returns the next manifest, in which the files of the request are replaced or
// removed, and the names of the files that differ. It adds the new contents to contents.
func replace(from *wire.Manifest, contents map[string][]byte, req *wire.ApplyRequest) (next *wire.Manifest, changed []string) {
	files := map[string]*wire.FileReference{}
	for _, reference := range from.GetFiles() {
		files[reference.GetName()] = reference
	}
	for _, file := range req.GetFiles() {
		sum := digest(file.GetContent())
		old, existed := files[file.GetName()]
		switch {
		case file.GetRemoved() && existed:
			delete(files, file.GetName())
		case file.GetRemoved() || (existed && old.GetDigest() == sum):
			continue
		default:
			contents[sum] = file.GetContent()
			files[file.GetName()] = &wire.FileReference{Name: file.GetName(), Digest: sum, Size: int64(len(file.GetContent()))}
		}
		changed = append(changed, file.GetName())
	}
	next = &wire.Manifest{Revision: from.GetRevision() + 1, Operator: req.GetOperator(), Token: rand.Text(), At: timestamppb.Now(), Changed: changed}
	for _, reference := range files {
		next.Files = append(next.Files, reference)
	}
	sort.Slice(next.Files, func(i, j int) bool { return next.Files[i].GetName() < next.Files[j].GetName() })
	return next, changed
}

// write stores the changed files and then the manifest, which commits the revision. It returns
// false if another operator has written a revision of the same number first.
func (c *Configuration) write(ctx context.Context, next *wire.Manifest, contents map[string][]byte, changed []string) (bool, error) {
	sums := digests(next)
	for _, name := range changed {
		sum, ok := sums[name]
		if !ok {
			continue
		}
		if _, err := c.Store.Put(ctx, store.Serving, &wire.PutRequest{Key: filePrefix + sum, Value: contents[sum]}); err != nil {
			return false, err
		}
	}
	value, err := proto.Marshal(next)
	if err != nil {
		return false, errkind.Invalid.New("report this as a defect", "Configuration.write: the manifest cannot be encoded: %v", err)
	}
	result, err := c.Store.Put(ctx, store.Serving, &wire.PutRequest{Key: revisionKey(next.GetRevision()), Value: value})
	if err != nil {
		return false, err
	}
	if result.Applied {
		c.trim(ctx, next.GetRevision())
	}
	return result.Applied, nil
}

// trim removes the revision that is HistoryLength revisions older than the newest. Errors are
// ignored; the revision is then never removed.
func (c *Configuration) trim(ctx context.Context, newest int64) {
	old := newest - HistoryLength
	if old < 1 {
		return
	}
	if found, err := c.Store.Get(ctx, store.Housekeeping, revisionKey(old)); err == nil && found.GetRevision() != 0 {
		_ = c.Store.Delete(ctx, store.Housekeeping, revisionKey(old), found.GetRevision())
	}
}

// ParseRevision parses a revision number of at least 0. Errors are Invalid.
func ParseRevision(text string) (int64, error) {
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return 0, errkind.Invalid.New("use a whole number of at least 0, such as 12", "configuration.ParseRevision: %q is not a revision number", text)
	}
	return revision, nil
}
