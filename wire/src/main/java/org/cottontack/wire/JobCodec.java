package org.cottontack.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.JobQueue;
import org.cottontack.core.job.JobSpec;
import org.cottontack.core.job.Resources;
import org.cottontack.core.job.StepSpec;
import org.cottontack.wire.generated.job.StoredJob;
import org.cottontack.wire.generated.job.StoredQueue;
import org.cottontack.wire.generated.job.StoredSchedule;
import org.cottontack.wire.generated.job.StoredStep;

/** Encodes and decodes the stored form of a {@link JobSpec}. */
public final class JobCodec {

  private static final byte GZIP_FIRST = 0x1f;
  private static final byte GZIP_SECOND = (byte) 0x8b;

  /** Largest job before compression, in bytes: several times the largest request body. */
  private static final int MAX_PLAIN_BYTES = 8 << 20;

  private JobCodec() {}

  /** Encodes a job without compression. */
  public static byte[] write(JobSpec job) {
    StoredJob.Builder stored =
        StoredJob.newBuilder()
            .setQueue(queue(job.queue()))
            .setPayload(job.payload())
            .setSchedule(
                StoredSchedule.newBuilder()
                    .setFirstMillis(job.schedule().firstMillis())
                    .setIntervalMillis(job.schedule().intervalMillis())
                    .setRepeats(job.schedule().repeats()));
    job.steps().forEach(step -> stored.addSteps(step(step)));
    return stored.build().toByteArray();
  }

  /**
   * Encodes a job, except for its identifier, which is the key of the row. A job that would be too
   * large is compressed; earlier versions leave such a job alone.
   *
   * @param maxBytes size limit of the row, in bytes; a job that is still larger cannot be stored
   */
  public static byte[] write(JobSpec job, int maxBytes) {
    byte[] plain = write(job);
    return plain.length <= maxBytes ? plain : compressed(plain);
  }

  private static byte[] compressed(byte[] plain) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
      gzip.write(plain);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot compress to memory", e);
    }
    return bytes.toByteArray();
  }

  /** Returns whether bytes are compressed: a stored job begins with the tag of a field. */
  private static boolean isCompressed(byte[] bytes) {
    return bytes.length > 1 && bytes[0] == GZIP_FIRST && bytes[1] == GZIP_SECOND;
  }

  private static byte[] plain(byte[] bytes) throws IOException {
    if (!isCompressed(bytes)) {
      return bytes;
    }
    try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
      byte[] plain = gzip.readNBytes(MAX_PLAIN_BYTES + 1);
      if (plain.length > MAX_PLAIN_BYTES) {
        throw new IOException("more than " + MAX_PLAIN_BYTES + " bytes");
      }
      return plain;
    }
  }

  /**
   * Decodes a stored job.
   *
   * @throws WireException if the bytes are not a stored job
   */
  public static JobSpec read(JobId id, byte[] bytes) {
    try {
      StoredJob stored = StoredJob.parseFrom(plain(bytes));
      if (stored.getStepsCount() == 0) {
        // An empty byte array is a valid protobuf message. If it were accepted as a job without
        // steps, the job would wait forever.
        throw new IllegalArgumentException("the job has no steps");
      }
      StoredSchedule schedule = stored.getSchedule();
      return new JobSpec(
          id,
          queue(stored.getQueue()),
          stored.getPayload(),
          stored.getStepsList().stream().map(JobCodec::step).toList(),
          new JobSpec.Schedule(
              schedule.getFirstMillis(), schedule.getIntervalMillis(), schedule.getRepeats()));
    } catch (IOException | IllegalArgumentException e) {
      throw new WireException("stored job " + id + " cannot be decoded: " + e.getMessage());
    }
  }

  private static StoredQueue queue(JobQueue queue) {
    return StoredQueue.newBuilder()
        .setName(queue.name())
        .setHost(queue.host())
        .setPrefix(queue.prefix())
        .setPool(queue.pool())
        .setPriority(queue.priority())
        .setMaxAttempts(queue.maxAttempts())
        .setStretch(queue.stretch())
        .setTargetMillis(queue.targetMillis())
        .setAdvised(queue.advised())
        .build();
  }

  private static JobQueue queue(StoredQueue queue) {
    return new JobQueue(
        queue.getName(),
        queue.getHost(),
        queue.getPrefix(),
        queue.getPool(),
        queue.getPriority(),
        queue.getMaxAttempts(),
        queue.getStretch(),
        queue.getTargetMillis(),
        queue.getAdvised());
  }

  private static StoredStep step(StepSpec step) {
    StoredStep.Builder stored =
        StoredStep.newBuilder()
            .setCount(step.count())
            .setCpuMillis(step.need().cpuMillis())
            .setMemMb(step.need().memMb())
            .setAccelerators(step.need().accelerators())
            .setEstimateMillis(step.estimateMillis())
            .addAllAfter(step.after())
            .setRequiredLabel(step.requiredLabel().orElse(""))
            .setRack(step.rack().orElse(""))
            .setMaxPerWorker(step.maxPerWorker())
            .setImage(step.image())
            .setTargetMillis(step.targetMillis())
            .setMayMiss(step.mayMiss());
    step.traits().forEach(trait -> stored.addTraits(trait.name()));
    return stored.build();
  }

  private static StepSpec step(StoredStep step) {
    return new StepSpec(
        step.getCount(),
        new Resources(step.getCpuMillis(), step.getMemMb(), step.getAccelerators()),
        step.getEstimateMillis(),
        step.getAfterList(),
        step.getTraitsList().stream().map(StepSpec.Trait::valueOf).toList(),
        optionalText(step.getRequiredLabel()),
        optionalText(step.getRack()),
        step.getMaxPerWorker(),
        step.getImage(),
        step.getTargetMillis(),
        step.getMayMiss());
  }

  private static Optional<String> optionalText(String value) {
    return Optional.of(value).filter(present -> !present.isEmpty());
  }
}
