//! A minimal streaming JSON reader for the endpoint list, which builds no document tree.
use super::{ParseError, Parsed};
use std::borrow::Cow;

/// Maximum nesting depth of a skipped value.
const MAX_DEPTH: usize = 16;

/// Reads a JSON text value by value.
pub struct Reader<'a> {
    text: &'a str,
    offset: usize,
}

impl<'a> Reader<'a> {
    /// Returns a reader at the start of `text`.
    pub fn new(text: &'a str) -> Reader<'a> {
        Reader { text, offset: 0 }
    }
    fn peek(&mut self) -> Option<u8> {
        let rest = &self.text.as_bytes()[self.offset..];
        self.offset += rest.iter().take_while(|b| b" \t\r\n".contains(b)).count();
        self.text.as_bytes().get(self.offset).copied()
    }
    fn eat(&mut self, byte: u8) -> bool {
        let is_next = self.peek() == Some(byte);
        self.offset += usize::from(is_next);
        is_next
    }
    fn need(&mut self, byte: u8) -> Parsed<()> {
        if self.eat(byte) {
            Ok(())
        } else {
            Err(ParseError("json: unexpected character"))
        }
    }

    /// Expects the end of the text.
    ///
    /// # Errors
    ///
    /// The text continues after the value.
    pub fn end(&mut self) -> Parsed<()> {
        if self.peek().is_none() {
            Ok(())
        } else {
            Err(ParseError("json: text behind the value"))
        }
    }

    /// Reads an object. `member` gets the name of each member and has to read or skip its value.
    ///
    /// # Errors
    ///
    /// The object is malformed, or `member` fails.
    pub fn object(&mut self, mut member: impl FnMut(&mut Self, &str) -> Parsed<()>) -> Parsed<()> {
        self.need(b'{')?;
        if self.eat(b'}') {
            return Ok(());
        }
        loop {
            let name = self.string()?;
            self.need(b':')?;
            member(self, &name)?;
            if !self.eat(b',') {
                return self.need(b'}');
            }
        }
    }

    /// Reads an array. `item` has to read or skip each value.
    ///
    /// # Errors
    ///
    /// The array is malformed, or `item` fails.
    pub fn array(&mut self, mut item: impl FnMut(&mut Self) -> Parsed<()>) -> Parsed<()> {
        self.need(b'[')?;
        if self.eat(b']') {
            return Ok(());
        }
        loop {
            item(self)?;
            if !self.eat(b',') {
                return self.need(b']');
            }
        }
    }

    /// Reads a string.
    ///
    /// # Errors
    ///
    /// The value is not a string, is not terminated, or contains an unknown escape.
    pub fn string(&mut self) -> Parsed<Cow<'a, str>> {
        self.need(b'"')?;
        let rest = &self.text[self.offset..];
        let stop = rest
            .find(['"', '\\'])
            .ok_or(ParseError("json: string without end"))?;
        if rest.as_bytes()[stop] == b'"' {
            self.offset += stop + 1;
            return Ok(Cow::Borrowed(&rest[..stop]));
        }
        let mut text = String::new();
        let mut chars = rest.char_indices();
        while let Some((index, c)) = chars.next() {
            match c {
                '"' => {
                    self.offset += index + 1;
                    return Ok(Cow::Owned(text));
                }
                '\\' => text.push(match chars.next().map(|(_, c)| c) {
                    Some(c @ ('"' | '\\' | '/')) => c,
                    Some('b') => '\u{8}',
                    Some('f') => '\u{c}',
                    Some('n') => '\n',
                    Some('r') => '\r',
                    Some('t') => '\t',
                    Some('u') => {
                        let mut digits = chars.by_ref().take(4).map(|(_, c)| c.to_digit(16));
                        let code = digits.try_fold(0, |n, d| Some(n * 16 + d?));
                        // A lone surrogate is not a character; ids contain no surrogate pairs.
                        code.and_then(char::from_u32)
                            .unwrap_or(char::REPLACEMENT_CHARACTER)
                    }
                    _ => return Err(ParseError("json: unknown escape")),
                }),
                c => text.push(c),
            }
        }
        Err(ParseError("json: string without end"))
    }

    /// Reads a finite number.
    ///
    /// # Errors
    ///
    /// The value is not a finite number.
    pub fn number(&mut self) -> Parsed<f64> {
        self.peek();
        let rest = &self.text[self.offset..];
        let length = rest
            .bytes()
            .take_while(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
            .count();
        self.offset += length;
        rest[..length]
            .parse()
            .ok()
            .filter(|n: &f64| n.is_finite())
            .ok_or(ParseError("json: no number"))
    }

    /// Reads `true` or `false`.
    ///
    /// # Errors
    ///
    /// The value is neither `true` nor `false`.
    pub fn boolean(&mut self) -> Parsed<bool> {
        match self.literal()? {
            "true" => Ok(true),
            "false" => Ok(false),
            _ => Err(ParseError("json: neither true nor false")),
        }
    }
    fn literal(&mut self) -> Parsed<&'a str> {
        self.peek();
        let rest = &self.text[self.offset..];
        let length = rest.bytes().take_while(u8::is_ascii_lowercase).count();
        self.offset += length;
        if length > 0 {
            Ok(&rest[..length])
        } else {
            Err(ParseError("json: unexpected character"))
        }
    }

    /// Skips a value of any type.
    ///
    /// # Errors
    ///
    /// The value is malformed, or nested deeper than `MAX_DEPTH`.
    pub fn skip(&mut self) -> Parsed<()> {
        self.skip_nested(0)
    }
    fn skip_nested(&mut self, depth: usize) -> Parsed<()> {
        if depth > MAX_DEPTH {
            return Err(ParseError("json: nested too deep"));
        }
        match self.peek() {
            Some(b'{') => self.object(|r, _| r.skip_nested(depth + 1)),
            Some(b'[') => self.array(|r| r.skip_nested(depth + 1)),
            Some(b'"') => self.string().map(|_| ()),
            Some(b't' | b'f' | b'n') => self.literal().map(|_| ()),
            _ => self.number().map(|_| ()),
        }
    }
}
