package config

import "kiteslip/internal/control/document"

// WithDocument returns c with a version's teams, services and pools in place of the
// file's own: what a process starts by. No place is kept for the file's, since
// nothing of them is open. An error names all faults, and says that the version
// cannot be used here.
func (c *Config) WithDocument(doc *document.Document) (*Config, error) {
	content := doc.Content()
	m, err := c.withContent(&content)
	if err != nil {
		return nil, err
	}
	m.version = doc
	return m, nil
}
