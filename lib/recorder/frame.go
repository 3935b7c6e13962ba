package recorder

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/ansel1/merry/v2"
)

// A frame is a batch in a file: the data that one write and one sync make durable.
// All numbers are little-endian.
//
//	magic   4 bytes
//	length  4 bytes, size of the body in bytes
//	segment 8 bytes, number of the file
//	ordinal 4 bytes, number of the frame in the file
//	body's checksum    4 bytes
//	header's checksum  4 bytes
//	body
//
// The segment and the ordinal detect a frame that the disk has written to a wrong
// place. The header has its own checksum so that a flipped bit in the length is
// not mistaken for a torn write.
const (
	frameMagic           = 0x5ae1106b
	headerSize           = 28
	headerChecksumOffset = 24
	// MaxFrameBytes is the maximum size of a frame's body, and therefore of a
	// snapshot, in bytes.
	MaxFrameBytes = 256 << 20
	// sectorSize is the number of bytes that a disk writes atomically.
	sectorSize = 512
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// The reasons why a frame cannot be read.
var (
	errTorn    = merry.Sentinel("frame was not written completely")
	errDamaged = merry.Sentinel("frame does not match its checksum or position")
)

// appendFrame appends an encoded frame to a buffer.
func appendFrame(into []byte, segment uint64, ordinal uint32, body []byte) []byte {
	start := len(into)
	into = binary.LittleEndian.AppendUint32(into, frameMagic)
	into = binary.LittleEndian.AppendUint32(into, uint32(len(body)))
	into = binary.LittleEndian.AppendUint64(into, segment)
	into = binary.LittleEndian.AppendUint32(into, ordinal)
	into = binary.LittleEndian.AppendUint32(into, crc32.Checksum(body, crcTable))
	into = binary.LittleEndian.AppendUint32(into, crc32.Checksum(into[start:], crcTable))
	return append(into, body...)
}

// readFrame decodes the frame at the start of data and returns its body and size.
// offset is the position of data in its file. An errTorn means that the bytes may
// be the remains of a write that a crash interrupted, an errDamaged that the frame
// was written completely and has changed since.
func readFrame(data []byte, offset int, segment uint64, ordinal uint32) (body []byte, size int, err error) {
	if len(data) < headerSize {
		return nil, 0, errTorn
	}
	header := data[:headerSize]
	if binary.LittleEndian.Uint32(header[headerChecksumOffset:]) != crc32.Checksum(header[:headerChecksumOffset], crcTable) {
		return nil, 0, tornOrDamaged(header, offset)
	}
	length := int(binary.LittleEndian.Uint32(header[4:]))
	if binary.LittleEndian.Uint32(header) != frameMagic || length > MaxFrameBytes ||
		binary.LittleEndian.Uint64(header[8:]) != segment || binary.LittleEndian.Uint32(header[16:]) != ordinal {
		return nil, 0, errDamaged
	}
	if len(data) < headerSize+length {
		return nil, 0, errTorn
	}
	body = data[headerSize : headerSize+length]
	if binary.LittleEndian.Uint32(header[20:]) != crc32.Checksum(body, crcTable) {
		return nil, 0, tornOrDamaged(data[:headerSize+length], offset)
	}
	return body, headerSize + length, nil
}

// tornOrDamaged distinguishes a torn write from a flipped bit in data whose length
// is complete. A disk writes whole sectors, so a torn write leaves at least one
// part of a sector that was never written and reads as zeros.
func tornOrDamaged(data []byte, offset int) error {
	for len(data) > 0 {
		part := min(sectorSize-offset%sectorSize, len(data))
		if len(bytes.Trim(data[:part], "\x00")) == 0 {
			return errTorn
		}
		data = data[part:]
		offset += part
	}
	return errDamaged
}

// hasLaterFrame reports whether the header of a later frame of the segment follows
// in data. A frame is written only after its predecessor has been synced, so an
// unreadable frame before a later one is damaged even if it seems torn.
func hasLaterFrame(data []byte, segment uint64, ordinal uint32) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for at := 1; at < len(data); at++ {
		found := bytes.Index(data[at:], magic)
		if found < 0 {
			return false
		}
		at += found
		if isLaterFrame(data[at:], segment, ordinal) {
			return true
		}
	}
	return false
}

// isLaterFrame reports whether data starts with a valid header of the segment whose
// ordinal is above the given one.
func isLaterFrame(data []byte, segment uint64, ordinal uint32) bool {
	if len(data) < headerSize {
		return false
	}
	header := data[:headerSize]
	return binary.LittleEndian.Uint32(header[headerChecksumOffset:]) == crc32.Checksum(header[:headerChecksumOffset], crcTable) &&
		binary.LittleEndian.Uint64(header[8:]) == segment &&
		binary.LittleEndian.Uint32(header[16:]) > ordinal
}
