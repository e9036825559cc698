//! Integers of variable length (LEB128, as in protocol buffers) and bounds-checked reading.

/// Why bytes can't be decoded.
pub(crate) type DecodeError = &'static str;

pub(crate) fn put_varint(out: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
}

/// Writes a difference of either sign, which is usually small.
pub(crate) fn put_delta(out: &mut Vec<u8>, value: u64, from: u64) {
    let difference = value.wrapping_sub(from) as i64;
    put_varint(out, ((difference << 1) ^ (difference >> 63)) as u64);
}

/// Writes a decimal number that usually has at most three decimals (as in load reports), otherwise its bits.
pub(crate) fn put_decimal(out: &mut Vec<u8>, value: f32) {
    let thousandths = (f64::from(value) * 1000.0).round();
    if (0.0..1e9).contains(&thousandths) && (thousandths / 1000.0) as f32 == value && value.is_sign_positive()
    {
        return put_varint(out, (thousandths as u64) << 1);
    }
    put_varint(out, u64::from(value.to_bits()) << 1 | 1);
}

/// Reads bytes from the front.
pub(crate) struct Reader<'a>(pub(crate) &'a [u8]);

impl<'a> Reader<'a> {
    pub(crate) fn bytes(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let (bytes, remainder) = self.0.split_at_checked(count).ok_or("unexpected end")?;
        self.0 = remainder;
        Ok(bytes)
    }

    pub(crate) fn byte(&mut self) -> Result<u8, DecodeError> {
        Ok(self.bytes(1)?[0])
    }

    pub(crate) fn varint(&mut self) -> Result<u64, DecodeError> {
        let mut value = 0;
        for index in 0..10 {
            let byte = self.byte()?;
            // The tenth byte has room for one bit.
            if index == 9 && byte > 1 {
                return Err("integer is too large");
            }
            value |= u64::from(byte & 0x7f) << (7 * index);
            if byte & 0x80 == 0 {
                return Ok(value);
            }
        }
        Err("integer has too many bytes")
    }

    pub(crate) fn integer<T: TryFrom<u64>>(&mut self) -> Result<T, DecodeError> {
        T::try_from(self.varint()?).map_err(|_| "integer is out of range")
    }

    pub(crate) fn delta(&mut self, from: u64) -> Result<u64, DecodeError> {
        let zigzag = self.varint()?;
        Ok(from.wrapping_add((zigzag >> 1) ^ (zigzag & 1).wrapping_neg()))
    }

    pub(crate) fn decimal(&mut self) -> Result<f32, DecodeError> {
        let value = self.varint()?;
        if value & 1 == 0 {
            return Ok(((value >> 1) as f64 / 1000.0) as f32);
        }
        let bits = u32::try_from(value >> 1).map_err(|_| "decimal has too many bits")?;
        Ok(f32::from_bits(bits))
    }

    pub(crate) fn word(&mut self) -> Result<[u8; 4], DecodeError> {
        let bytes = self.bytes(4)?;
        Ok([bytes[0], bytes[1], bytes[2], bytes[3]])
    }

    /// A number of items that take at least one byte each.
    pub(crate) fn count(&mut self) -> Result<usize, DecodeError> {
        let count: usize = self.integer()?;
        if count > self.0.len() { Err("count exceeds the remaining bytes") } else { Ok(count) }
    }
}
