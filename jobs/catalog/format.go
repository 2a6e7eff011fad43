package catalog

// Format defines how operators' records are decoded.
type Format struct {
	// ConfigKey is the key of the configuration record, and DecodeConfig decodes its value.
	ConfigKey    string
	DecodeConfig func(value []byte) (*Catalog, error)
	// CordonedZone returns the zone that records with a key cordon, or false if the key is not that
	// of a cordon.
	CordonedZone func(key string) (zone string, ok bool)
	// CheckCordon returns an error if the value of such a record is malformed.
	CheckCordon func(value []byte) error
	// Zones lists the existing zones. A cordon of another zone takes effect, but a warning is logged
	// because the name may be a typo.
	Zones []string
}

// zoneOf returns the zone that records with a key cordon, or false if the key is not that of a
// cordon.
func (f Format) zoneOf(key string) (string, bool) {
	if f.CordonedZone == nil {
		return "", false
	}
	return f.CordonedZone(key)
}
