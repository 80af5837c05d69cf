//! Frames in which a tunnel carries the server's bytes: a length in 4 bytes, big-endian, and so many
//! bytes. The last frame is empty, so that the end of the server's connection differs from every
//! other end.

use std::future::Ready;
use std::future::ready;
use std::io;
use std::io::Cursor;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::TryStreamExt;
use futures_util::stream;
use futures_util::stream::TryTakeWhile;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::Chain;
use tokio_util::codec::Decoder;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::io::ReaderStream;
use tokio_util::io::StreamReader;

/// Most bytes of a frame that is accepted.
const FRAME_LEN_MAX: usize = 16 * 1024;
/// Most bytes of a frame that is sent.
const SENT_LEN_MAX: usize = 8 * 1024;

/// Reads the bytes out of frames. It ends cleanly only after the last frame.
pub(super) type FrameReader<R> = StreamReader<
    TryTakeWhile<
        FramedRead<Chain<Cursor<Bytes>, R>, FrameDecoder>,
        Ready<io::Result<bool>>,
        fn(&BytesMut) -> Ready<io::Result<bool>>,
    >,
    BytesMut,
>;

/// Reads the bytes out of the frames of `rx`, whose first bytes have already been read as `start`.
/// An end without the last frame is [`io::ErrorKind::UnexpectedEof`].
pub(super) fn reader<R: AsyncRead + Unpin>(start: Bytes, rx: R) -> FrameReader<R> {
    let rx = Cursor::new(start).chain(rx);
    let frames = FramedRead::with_capacity(rx, FrameDecoder(codec()), SENT_LEN_MAX);
    StreamReader::new(frames.try_take_while(is_not_last))
}

fn is_not_last(frame: &BytesMut) -> Ready<io::Result<bool>> {
    ready(Ok(!frame.is_empty()))
}

/// Sends all bytes of `rx` in frames, and the last frame once it has ended.
///
/// # Errors
///
/// That of the side that failed; the last frame was not sent.
pub(super) async fn send<R, W>(rx: R, tx: W) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let last = stream::once(ready(Ok(Bytes::new())));
    let frames = ReaderStream::with_capacity(rx, SENT_LEN_MAX).chain(last);
    frames.forward(FramedWrite::new(tx, codec())).await
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_LEN_MAX).new_codec()
}

/// Decodes frames, and takes an end of file for an error.
#[derive(Debug)]
pub(super) struct FrameDecoder(LengthDelimitedCodec);

impl Decoder for FrameDecoder {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, buf: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        // Not the kind of the codec's error: it would blame the server for a fault of the peer.
        self.0.decode(buf).map_err(io::Error::other)
    }

    fn decode_eof(&mut self, buf: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let frame = self.decode(buf)?;
        frame.map(Some).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
