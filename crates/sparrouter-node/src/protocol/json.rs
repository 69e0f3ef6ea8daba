//! Just enough JSON for discovery's lines: read once, front to back, without a tree.
use super::{ParseError, Parsed};
use std::borrow::Cow;

/// Nested deeper than this, a value is refused rather than followed.
const MAX_DEPTH: usize = 16;

pub struct Reader<'a> {
    text: &'a str,
    at: usize,
}

impl<'a> Reader<'a> {
    pub fn new(text: &'a str) -> Reader<'a> {
        Reader { text, at: 0 }
    }
    fn peek(&mut self) -> Option<u8> {
        let rest = &self.text.as_bytes()[self.at..];
        self.at += rest.iter().take_while(|b| b" \t\r\n".contains(b)).count();
        self.text.as_bytes().get(self.at).copied()
    }
    fn eat(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.at += usize::from(found);
        found
    }
    fn need(&mut self, byte: u8) -> Parsed<()> {
        if self.eat(byte) {
            Ok(())
        } else {
            Err(ParseError("json: unexpected character"))
        }
    }
    pub fn end(&mut self) -> Parsed<()> {
        if self.peek().is_none() {
            Ok(())
        } else {
            Err(ParseError("json: text behind the value"))
        }
    }

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

    pub fn string(&mut self) -> Parsed<Cow<'a, str>> {
        self.need(b'"')?;
        let rest = &self.text[self.at..];
        let stop = rest
            .find(['"', '\\'])
            .ok_or(ParseError("json: string without end"))?;
        if rest.as_bytes()[stop] == b'"' {
            self.at += stop + 1;
            return Ok(Cow::Borrowed(&rest[..stop]));
        }
        let mut text = String::new();
        let mut chars = rest.char_indices();
        while let Some((at, c)) = chars.next() {
            match c {
                '"' => {
                    self.at += at + 1;
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
                        // Half of a pair stands for no character: ids hold none.
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
    pub fn number(&mut self) -> Parsed<f64> {
        self.peek();
        let rest = &self.text[self.at..];
        let length = rest
            .bytes()
            .take_while(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
            .count();
        self.at += length;
        rest[..length]
            .parse()
            .ok()
            .filter(|n: &f64| n.is_finite())
            .ok_or(ParseError("json: no number"))
    }
    pub fn boolean(&mut self) -> Parsed<bool> {
        match self.word()? {
            "true" => Ok(true),
            "false" => Ok(false),
            _ => Err(ParseError("json: neither true nor false")),
        }
    }
    fn word(&mut self) -> Parsed<&'a str> {
        self.peek();
        let rest = &self.text[self.at..];
        let length = rest.bytes().take_while(u8::is_ascii_lowercase).count();
        self.at += length;
        if length > 0 {
            Ok(&rest[..length])
        } else {
            Err(ParseError("json: unexpected character"))
        }
    }

    /// Passes over a value that nobody asked for.
    pub fn skip(&mut self) -> Parsed<()> {
        self.skip_at(0)
    }
    fn skip_at(&mut self, depth: usize) -> Parsed<()> {
        if depth > MAX_DEPTH {
            return Err(ParseError("json: nested too deep"));
        }
        match self.peek() {
            Some(b'{') => self.object(|r, _| r.skip_at(depth + 1)),
            Some(b'[') => self.array(|r| r.skip_at(depth + 1)),
            Some(b'"') => self.string().map(|_| ()),
            Some(b't' | b'f' | b'n') => self.word().map(|_| ()),
            _ => self.number().map(|_| ()),
        }
    }
}
