//! Whole numbers of variable length (LEB128, as protocol buffers have them) and reading that never runs over.

/// Why bytes can't be read.
pub(crate) type Bad = &'static str;

pub(crate) fn put(out: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
}

/// A difference that is mostly small, of either sign.
pub(crate) fn put_delta(out: &mut Vec<u8>, value: u64, from: u64) {
    let difference = value.wrapping_sub(from) as i64;
    put(out, ((difference << 1) ^ (difference >> 63)) as u64);
}

/// A figure that mostly has at most three decimals (load reports are written so), else its bits.
pub(crate) fn put_figure(out: &mut Vec<u8>, value: f32) {
    let thousandths = (f64::from(value) * 1000.0).round();
    if (0.0..1e9).contains(&thousandths) && (thousandths / 1000.0) as f32 == value && value.is_sign_positive()
    {
        return put(out, (thousandths as u64) << 1);
    }
    put(out, u64::from(value.to_bits()) << 1 | 1);
}

/// Bytes that are read from the front.
pub(crate) struct Input<'a>(pub(crate) &'a [u8]);

impl<'a> Input<'a> {
    pub(crate) fn bytes(&mut self, count: usize) -> Result<&'a [u8], Bad> {
        let (bytes, rest) = self.0.split_at_checked(count).ok_or("it ends too early")?;
        self.0 = rest;
        Ok(bytes)
    }

    pub(crate) fn byte(&mut self) -> Result<u8, Bad> {
        Ok(self.bytes(1)?[0])
    }

    pub(crate) fn number(&mut self) -> Result<u64, Bad> {
        let mut value = 0;
        for place in 0..10 {
            let byte = self.byte()?;
            // The tenth byte has room for one bit.
            if place == 9 && byte > 1 {
                return Err("a number is too large");
            }
            value |= u64::from(byte & 0x7f) << (7 * place);
            if byte & 0x80 == 0 {
                return Ok(value);
            }
        }
        Err("a number is too long")
    }

    pub(crate) fn below<T: TryFrom<u64>>(&mut self) -> Result<T, Bad> {
        T::try_from(self.number()?).map_err(|_| "a number is too large for what it stands for")
    }

    pub(crate) fn delta(&mut self, from: u64) -> Result<u64, Bad> {
        let folded = self.number()?;
        Ok(from.wrapping_add((folded >> 1) ^ (folded & 1).wrapping_neg()))
    }

    pub(crate) fn figure(&mut self) -> Result<f32, Bad> {
        let value = self.number()?;
        if value & 1 == 0 {
            return Ok(((value >> 1) as f64 / 1000.0) as f32);
        }
        let bits = u32::try_from(value >> 1).map_err(|_| "a figure has too many bits")?;
        Ok(f32::from_bits(bits))
    }

    pub(crate) fn word(&mut self) -> Result<[u8; 4], Bad> {
        let bytes = self.bytes(4)?;
        Ok([bytes[0], bytes[1], bytes[2], bytes[3]])
    }

    /// A count of things that take at least one byte each.
    pub(crate) fn count(&mut self) -> Result<usize, Bad> {
        let count: usize = self.below()?;
        if count > self.0.len() { Err("it counts more than there is") } else { Ok(count) }
    }
}
