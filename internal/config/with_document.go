package config

import "kiteslip/internal/control/document"

// WithDocument returns c with a version's teams, services and pools in place of the
// file's own: the configuration that a process starts with. The file's own get no
// slots, since none of their requests can be open. An error lists everything invalid
// and means that this server cannot use the version.
func (c *Config) WithDocument(doc *document.Document) (*Config, error) {
	content := doc.Content()
	m, err := c.withContent(&content)
	if err != nil {
		return nil, err
	}
	m.version = doc
	return m, nil
}
