//go:build tools

// Package gopls pins gopls, which renames identifiers. It is a module of its own because
// gopls v0.23.0 does not build with the newer golang.org/x/tools that gofumpt needs.
package gopls

import _ "golang.org/x/tools/gopls"
