// Package configuration keeps the operators' rules in force. A revision is a
// manifest at a position of the store that must be absent, so that accepted
// revisions form one growing sequence and none is ever undone.
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
	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/rules"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	revisionPrefix = "configuration/revision/"
	filePrefix     = "configuration/file/"
	watchWait      = 30 * time.Second
	watchRetry     = 500 * time.Millisecond
	watchRetryLast = 5 * time.Second
	applyTimeout   = 10 * time.Second
	// HistoryLength is the number of revisions that the store keeps.
	HistoryLength = 200
	diffContext   = 2
)

// Configuration holds the revision in force at one host. Set Store before Run.
type Configuration struct {
	Store *store.Store
	// Changed is called with each revision that comes into force; may be nil.
	Changed func(*rules.Rules)

	mu       sync.Mutex
	current  *rules.Rules
	manifest *wire.Manifest
	contents map[string][]byte
}

// Current returns the rules in force; empty rules of revision 0 before the first.
func (c *Configuration) Current() *rules.Rules {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return &rules.Rules{}
	}
	return c.current
}

// Revision returns the revision in force; 0 before the first.
func (c *Configuration) Revision() int64 { return c.Current().Revision }

// Manifest returns the manifest in force and the contents of its files by digest.
func (c *Configuration) Manifest() (*wire.Manifest, map[string][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.manifest, c.contents
}

// Run follows the store until ctx ends. In an outage the rules in force stay.
func (c *Configuration) Run(ctx context.Context) error {
	pause, after := watchRetry, int64(-1)
	for ctx.Err() == nil {
		next, err := c.follow(ctx, after)
		if err == nil {
			pause, after = watchRetry, next
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, watchRetryLast)
	}
	return ctx.Err()
}

// follow takes the newest revision, then waits for the next one.
func (c *Configuration) follow(ctx context.Context, after int64) (int64, error) {
	if after < 0 {
		return c.Refresh(ctx)
	}
	changes, err := c.Store.Watch(ctx, revisionPrefix, after, watchWait)
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
	if err := c.adopt(ctx, newest); err != nil {
		return after, err
	}
	return max(after, changes.GetRevision()), nil
}

// Refresh reads the newest revision from the store and puts it in force.
func (c *Configuration) Refresh(ctx context.Context) (int64, error) {
	manifest, revision, err := c.newest(ctx)
	if err != nil {
		return -1, err
	}
	return revision, c.adopt(ctx, manifest)
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
			return nil, 0, fault.Invalid.New("apply the folder again", "Configuration.newest: %v", err)
		}
	}
	return manifest, listed.GetRevision(), nil
}

func revisionKey(revision int64) string { return fmt.Sprintf("%s%012d", revisionPrefix, revision) }

// adopt puts a higher revision in force; a lower one is passed over.
func (c *Configuration) adopt(ctx context.Context, manifest *wire.Manifest) error {
	if manifest.GetRevision() <= c.Revision() {
		return nil
	}
	contents, err := c.fetch(ctx, manifest)
	if err != nil {
		return err
	}
	return c.Adopt(manifest, contents)
}

// Adopt puts a manifest in force if it is higher than the one in force. The
// contents may come from a peer, so each is checked against its digest.
func (c *Configuration) Adopt(manifest *wire.Manifest, contents map[string][]byte) error {
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
	if higher && c.Changed != nil {
		c.Changed(merged)
	}
	return nil
}

func merge(manifest *wire.Manifest, contents map[string][]byte) (*rules.Rules, error) {
	files := make([]rules.File, 0, len(manifest.GetFiles()))
	for _, reference := range manifest.GetFiles() {
		text, ok := contents[reference.GetDigest()]
		if !ok || digest(text) != reference.GetDigest() {
			return nil, fault.Invalid.New("take the revision from the store", "Configuration: %s does not match its digest", reference.GetName())
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

// fetch returns the contents of a manifest; only files that changed are read.
func (c *Configuration) fetch(ctx context.Context, manifest *wire.Manifest) (map[string][]byte, error) {
	_, held := c.Manifest()
	out := map[string][]byte{}
	for _, reference := range manifest.GetFiles() {
		name := reference.GetDigest()
		if text, ok := held[name]; ok {
			out[name] = text
			continue
		}
		found, err := c.Store.Get(ctx, store.Serving, filePrefix+name)
		if err != nil {
			return nil, err
		}
		if digest(found.GetValue()) != name {
			return nil, fault.Unavailable.New("wait for the store", "Configuration.fetch: %s is not there yet", reference.GetName())
		}
		out[name] = found.GetValue()
	}
	return out, nil
}

// At returns the manifest of a revision; an empty one for 0. Errors: NotFound when
// the store no longer keeps it.
func (c *Configuration) At(ctx context.Context, revision int64) (*wire.Manifest, error) {
	if revision == 0 {
		return &wire.Manifest{}, nil
	}
	found, err := c.Store.Get(ctx, store.Serving, revisionKey(revision))
	if err != nil {
		return nil, err
	}
	manifest := &wire.Manifest{}
	if found.GetRevision() == 0 || proto.Unmarshal(found.GetValue(), manifest) != nil {
		return nil, fault.NotFound.New("use a revision that `eelgrasstide config history` lists", "Configuration.At: revision %d is not kept", revision)
	}
	return manifest, nil
}

// Read returns a kept revision with its contents by digest.
func (c *Configuration) Read(ctx context.Context, revision int64) (*wire.Manifest, map[string][]byte, error) {
	manifest, err := c.At(ctx, revision)
	if err != nil {
		return nil, nil, err
	}
	contents, err := c.fetch(ctx, manifest)
	return manifest, contents, err
}

// History returns the manifests that the store keeps, newest last.
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

func difference(name string, current, wanted []byte) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(current)), B: difflib.SplitLines(string(wanted)),
		FromFile: name + " (in force)", ToFile: name + " (yours)", Context: diffContext,
	})
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(text)
}

// replace returns the manifest with the named files replaced or removed. New
// contents are added to contents.
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

// write stores the changed files, then the manifest as the commit point. It
// reports false when another operator took the revision first.
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
		return false, fault.Invalid.New("report this as a defect", "Configuration.write: %v", err)
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

// trim removes the revision that has grown too old for the history.
func (c *Configuration) trim(ctx context.Context, newest int64) {
	old := newest - HistoryLength
	if old < 1 {
		return
	}
	if found, err := c.Store.Get(ctx, store.Housekeeping, revisionKey(old)); err == nil && found.GetRevision() != 0 {
		_ = c.Store.Delete(ctx, store.Housekeeping, revisionKey(old), found.GetRevision())
	}
}

// ParseRevision reads a revision from a command line. Errors are Invalid.
func ParseRevision(text string) (int64, error) {
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return 0, fault.Invalid.New("write a whole number such as 12", "%q is not a revision", text)
	}
	return revision, nil
}
