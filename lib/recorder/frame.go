package recorder

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/ansel1/merry/v2"
)

// A frame is one batch in a file: what one write and one sync made durable.
//
//	magic   4 bytes
//	length  4 bytes, of the body
//	segment 8 bytes, the number of the file
//	ordinal 4 bytes, the number of the frame in the file
//	body's checksum    4 bytes
//	header's checksum  4 bytes
//	body
//
// The segment and the ordinal are there so that a frame which the disk puts in
// a wrong place is noticed; the header's own checksum so that a flipped bit in
// the length is not taken for a write that was torn.
const (
	frameMagic  = 0x5ae1106b
	headerSize  = 28
	checkedSize = 24
	// MaxFrame bounds the body of a frame, and with it of a snapshot, in bytes.
	MaxFrame = 256 << 20
	// sectorSize is what a disk writes as one step.
	sectorSize = 512
)

var table = crc32.MakeTable(crc32.Castagnoli)

// errTorn and errDamaged are why a frame cannot be read.
var (
	errTorn    = merry.Sentinel("frame was not written to its end")
	errDamaged = merry.Sentinel("frame fails its checksum")
)

// appendFrame encodes a frame.
func appendFrame(into []byte, segment uint64, ordinal uint32, body []byte) []byte {
	start := len(into)
	into = binary.LittleEndian.AppendUint32(into, frameMagic)
	into = binary.LittleEndian.AppendUint32(into, uint32(len(body)))
	into = binary.LittleEndian.AppendUint64(into, segment)
	into = binary.LittleEndian.AppendUint32(into, ordinal)
	into = binary.LittleEndian.AppendUint32(into, crc32.Checksum(body, table))
	into = binary.LittleEndian.AppendUint32(into, crc32.Checksum(into[start:], table))
	return append(into, body...)
}

// readFrame decodes the frame at the start of data, which lies at an offset in
// its file, and returns its body and size. An errTorn means that the bytes look
// like the remains of a write that a crash cut off; an errDamaged that they were
// whole once.
func readFrame(data []byte, offset int, segment uint64, ordinal uint32) (body []byte, size int, err error) {
	if len(data) < headerSize {
		return nil, 0, errTorn
	}
	header := data[:headerSize]
	if binary.LittleEndian.Uint32(header[checkedSize:]) != crc32.Checksum(header[:checkedSize], table) {
		return nil, 0, tornOrDamaged(header, offset)
	}
	length := int(binary.LittleEndian.Uint32(header[4:]))
	if binary.LittleEndian.Uint32(header) != frameMagic || length > MaxFrame ||
		binary.LittleEndian.Uint64(header[8:]) != segment || binary.LittleEndian.Uint32(header[16:]) != ordinal {
		return nil, 0, errDamaged
	}
	if len(data) < headerSize+length {
		return nil, 0, errTorn
	}
	body = data[headerSize : headerSize+length]
	if binary.LittleEndian.Uint32(header[20:]) != crc32.Checksum(body, table) {
		return nil, 0, tornOrDamaged(data[:headerSize+length], offset)
	}
	return body, headerSize + length, nil
}

// tornOrDamaged tells a torn write from a flipped bit in bytes that are there
// in full length. A disk writes whole sectors, so a torn write leaves at least
// one sector's part that was never written and reads as zeros.
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

// followed tells whether any whole frame lies further on. A frame is only
// written after the one before it has been synced, so then the one before is
// damaged, however much it looks torn.
func followed(data []byte, segment uint64, ordinal uint32) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for at := 1; at < len(data); at++ {
		found := bytes.Index(data[at:], magic)
		if found < 0 {
			return false
		}
		at += found
		if laterFrame(data[at:], segment, ordinal) {
			return true
		}
	}
	return false
}

func laterFrame(data []byte, segment uint64, ordinal uint32) bool {
	if len(data) < headerSize {
		return false
	}
	header := data[:headerSize]
	return binary.LittleEndian.Uint32(header[checkedSize:]) == crc32.Checksum(header[:checkedSize], table) &&
		binary.LittleEndian.Uint64(header[8:]) == segment &&
		binary.LittleEndian.Uint32(header[16:]) > ordinal
}
