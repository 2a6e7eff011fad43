package catalog

// Format says how operators' records are read.
type Format struct {
	// ConfigKey is the key of the configuration, and Config decodes its value.
	ConfigKey string
	Config    func(value []byte) (*Catalog, error)
	// CordonedZone returns the zone that records of a key cordon; false if they don't cordon any.
	CordonedZone func(key string) (zone string, ok bool)
	// CheckCordon returns an error if the value of such a record is malformed.
	CheckCordon func(value []byte) error
	// Zones are the existing zones. A cordon of another one takes effect and is logged: it may be
	// a typing error.
	Zones []string
}

// zoneOf returns the zone that records of a key cordon; false if they don't cordon any.
func (f Format) zoneOf(key string) (string, bool) {
	if f.CordonedZone == nil {
		return "", false
	}
	return f.CordonedZone(key)
}
