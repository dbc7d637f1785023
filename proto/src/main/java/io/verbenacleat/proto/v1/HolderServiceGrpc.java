package io.verbenacleat.proto.v1;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by every entry, in its role of budget holder. Callers are gateways and agents.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class HolderServiceGrpc {

  private HolderServiceGrpc() {}

  public static final java.lang.String SERVICE_NAME = "verbena.v1.HolderService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ReserveRequest,
      io.verbenacleat.proto.v1.ReserveResponse> getReserveMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Reserve",
      requestType = io.verbenacleat.proto.v1.ReserveRequest.class,
      responseType = io.verbenacleat.proto.v1.ReserveResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ReserveRequest,
      io.verbenacleat.proto.v1.ReserveResponse> getReserveMethod() {
    io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ReserveRequest, io.verbenacleat.proto.v1.ReserveResponse> getReserveMethod;
    if ((getReserveMethod = HolderServiceGrpc.getReserveMethod) == null) {
      synchronized (HolderServiceGrpc.class) {
        if ((getReserveMethod = HolderServiceGrpc.getReserveMethod) == null) {
          HolderServiceGrpc.getReserveMethod = getReserveMethod =
              io.grpc.MethodDescriptor.<io.verbenacleat.proto.v1.ReserveRequest, io.verbenacleat.proto.v1.ReserveResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Reserve"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.ReserveRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.ReserveResponse.getDefaultInstance()))
              .setSchemaDescriptor(new HolderServiceMethodDescriptorSupplier("Reserve"))
              .build();
        }
      }
    }
    return getReserveMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.SettleRequest,
      io.verbenacleat.proto.v1.SettleResponse> getSettleMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Settle",
      requestType = io.verbenacleat.proto.v1.SettleRequest.class,
      responseType = io.verbenacleat.proto.v1.SettleResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.SettleRequest,
      io.verbenacleat.proto.v1.SettleResponse> getSettleMethod() {
    io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.SettleRequest, io.verbenacleat.proto.v1.SettleResponse> getSettleMethod;
    if ((getSettleMethod = HolderServiceGrpc.getSettleMethod) == null) {
      synchronized (HolderServiceGrpc.class) {
        if ((getSettleMethod = HolderServiceGrpc.getSettleMethod) == null) {
          HolderServiceGrpc.getSettleMethod = getSettleMethod =
              io.grpc.MethodDescriptor.<io.verbenacleat.proto.v1.SettleRequest, io.verbenacleat.proto.v1.SettleResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Settle"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.SettleRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.SettleResponse.getDefaultInstance()))
              .setSchemaDescriptor(new HolderServiceMethodDescriptorSupplier("Settle"))
              .build();
        }
      }
    }
    return getSettleMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ReleaseRequest,
      io.verbenacleat.proto.v1.ReleaseResponse> getReleaseMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Release",
      requestType = io.verbenacleat.proto.v1.ReleaseRequest.class,
      responseType = io.verbenacleat.proto.v1.ReleaseResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ReleaseRequest,
      io.verbenacleat.proto.v1.ReleaseResponse> getReleaseMethod() {
    io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ReleaseRequest, io.verbenacleat.proto.v1.ReleaseResponse> getReleaseMethod;
    if ((getReleaseMethod = HolderServiceGrpc.getReleaseMethod) == null) {
      synchronized (HolderServiceGrpc.class) {
        if ((getReleaseMethod = HolderServiceGrpc.getReleaseMethod) == null) {
          HolderServiceGrpc.getReleaseMethod = getReleaseMethod =
              io.grpc.MethodDescriptor.<io.verbenacleat.proto.v1.ReleaseRequest, io.verbenacleat.proto.v1.ReleaseResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Release"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.ReleaseRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.ReleaseResponse.getDefaultInstance()))
              .setSchemaDescriptor(new HolderServiceMethodDescriptorSupplier("Release"))
              .build();
        }
      }
    }
    return getReleaseMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ProbeRequest,
      io.verbenacleat.proto.v1.ProbeResponse> getProbeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Probe",
      requestType = io.verbenacleat.proto.v1.ProbeRequest.class,
      responseType = io.verbenacleat.proto.v1.ProbeResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ProbeRequest,
      io.verbenacleat.proto.v1.ProbeResponse> getProbeMethod() {
    io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ProbeRequest, io.verbenacleat.proto.v1.ProbeResponse> getProbeMethod;
    if ((getProbeMethod = HolderServiceGrpc.getProbeMethod) == null) {
      synchronized (HolderServiceGrpc.class) {
        if ((getProbeMethod = HolderServiceGrpc.getProbeMethod) == null) {
          HolderServiceGrpc.getProbeMethod = getProbeMethod =
              io.grpc.MethodDescriptor.<io.verbenacleat.proto.v1.ProbeRequest, io.verbenacleat.proto.v1.ProbeResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Probe"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.ProbeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.ProbeResponse.getDefaultInstance()))
              .setSchemaDescriptor(new HolderServiceMethodDescriptorSupplier("Probe"))
              .build();
        }
      }
    }
    return getProbeMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static HolderServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<HolderServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<HolderServiceStub>() {
        @java.lang.Override
        public HolderServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new HolderServiceStub(channel, callOptions);
        }
      };
    return HolderServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static HolderServiceBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<HolderServiceBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<HolderServiceBlockingV2Stub>() {
        @java.lang.Override
        public HolderServiceBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new HolderServiceBlockingV2Stub(channel, callOptions);
        }
      };
    return HolderServiceBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static HolderServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<HolderServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<HolderServiceBlockingStub>() {
        @java.lang.Override
        public HolderServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new HolderServiceBlockingStub(channel, callOptions);
        }
      };
    return HolderServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static HolderServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<HolderServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<HolderServiceFutureStub>() {
        @java.lang.Override
        public HolderServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new HolderServiceFutureStub(channel, callOptions);
        }
      };
    return HolderServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by every entry, in its role of budget holder. Callers are gateways and agents.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Reserves the worst case of one request.
     * </pre>
     */
    default void reserve(io.verbenacleat.proto.v1.ReserveRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ReserveResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getReserveMethod(), responseObserver);
    }

    /**
     * <pre>
     * Turns reservations into spent tokens. Idempotent by request id.
     * </pre>
     */
    default void settle(io.verbenacleat.proto.v1.SettleRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.SettleResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSettleMethod(), responseObserver);
    }

    /**
     * <pre>
     * Frees reservations of requests that were not run. Idempotent by request id.
     * </pre>
     */
    default void release(io.verbenacleat.proto.v1.ReleaseRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ReleaseResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getReleaseMethod(), responseObserver);
    }

    /**
     * <pre>
     * Heartbeat between entries.
     * </pre>
     */
    default void probe(io.verbenacleat.proto.v1.ProbeRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ProbeResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getProbeMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service HolderService.
   * <pre>
   * Served by every entry, in its role of budget holder. Callers are gateways and agents.
   * </pre>
   */
  public static abstract class HolderServiceImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return HolderServiceGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service HolderService.
   * <pre>
   * Served by every entry, in its role of budget holder. Callers are gateways and agents.
   * </pre>
   */
  public static final class HolderServiceStub
      extends io.grpc.stub.AbstractAsyncStub<HolderServiceStub> {
    private HolderServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected HolderServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new HolderServiceStub(channel, callOptions);
    }

    /**
     * <pre>
     * Reserves the worst case of one request.
     * </pre>
     */
    public void reserve(io.verbenacleat.proto.v1.ReserveRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ReserveResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getReserveMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Turns reservations into spent tokens. Idempotent by request id.
     * </pre>
     */
    public void settle(io.verbenacleat.proto.v1.SettleRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.SettleResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSettleMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Frees reservations of requests that were not run. Idempotent by request id.
     * </pre>
     */
    public void release(io.verbenacleat.proto.v1.ReleaseRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ReleaseResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getReleaseMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Heartbeat between entries.
     * </pre>
     */
    public void probe(io.verbenacleat.proto.v1.ProbeRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ProbeResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getProbeMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service HolderService.
   * <pre>
   * Served by every entry, in its role of budget holder. Callers are gateways and agents.
   * </pre>
   */
  public static final class HolderServiceBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<HolderServiceBlockingV2Stub> {
    private HolderServiceBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected HolderServiceBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new HolderServiceBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Reserves the worst case of one request.
     * </pre>
     */
    public io.verbenacleat.proto.v1.ReserveResponse reserve(io.verbenacleat.proto.v1.ReserveRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReserveMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Turns reservations into spent tokens. Idempotent by request id.
     * </pre>
     */
    public io.verbenacleat.proto.v1.SettleResponse settle(io.verbenacleat.proto.v1.SettleRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSettleMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Frees reservations of requests that were not run. Idempotent by request id.
     * </pre>
     */
    public io.verbenacleat.proto.v1.ReleaseResponse release(io.verbenacleat.proto.v1.ReleaseRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReleaseMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Heartbeat between entries.
     * </pre>
     */
    public io.verbenacleat.proto.v1.ProbeResponse probe(io.verbenacleat.proto.v1.ProbeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getProbeMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service HolderService.
   * <pre>
   * Served by every entry, in its role of budget holder. Callers are gateways and agents.
   * </pre>
   */
  public static final class HolderServiceBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<HolderServiceBlockingStub> {
    private HolderServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected HolderServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new HolderServiceBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Reserves the worst case of one request.
     * </pre>
     */
    public io.verbenacleat.proto.v1.ReserveResponse reserve(io.verbenacleat.proto.v1.ReserveRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReserveMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Turns reservations into spent tokens. Idempotent by request id.
     * </pre>
     */
    public io.verbenacleat.proto.v1.SettleResponse settle(io.verbenacleat.proto.v1.SettleRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSettleMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Frees reservations of requests that were not run. Idempotent by request id.
     * </pre>
     */
    public io.verbenacleat.proto.v1.ReleaseResponse release(io.verbenacleat.proto.v1.ReleaseRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReleaseMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Heartbeat between entries.
     * </pre>
     */
    public io.verbenacleat.proto.v1.ProbeResponse probe(io.verbenacleat.proto.v1.ProbeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getProbeMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service HolderService.
   * <pre>
   * Served by every entry, in its role of budget holder. Callers are gateways and agents.
   * </pre>
   */
  public static final class HolderServiceFutureStub
      extends io.grpc.stub.AbstractFutureStub<HolderServiceFutureStub> {
    private HolderServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected HolderServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new HolderServiceFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Reserves the worst case of one request.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.verbenacleat.proto.v1.ReserveResponse> reserve(
        io.verbenacleat.proto.v1.ReserveRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getReserveMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Turns reservations into spent tokens. Idempotent by request id.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.verbenacleat.proto.v1.SettleResponse> settle(
        io.verbenacleat.proto.v1.SettleRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSettleMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Frees reservations of requests that were not run. Idempotent by request id.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.verbenacleat.proto.v1.ReleaseResponse> release(
        io.verbenacleat.proto.v1.ReleaseRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getReleaseMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Heartbeat between entries.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.verbenacleat.proto.v1.ProbeResponse> probe(
        io.verbenacleat.proto.v1.ProbeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getProbeMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_RESERVE = 0;
  private static final int METHODID_SETTLE = 1;
  private static final int METHODID_RELEASE = 2;
  private static final int METHODID_PROBE = 3;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_RESERVE:
          serviceImpl.reserve((io.verbenacleat.proto.v1.ReserveRequest) request,
              (io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ReserveResponse>) responseObserver);
          break;
        case METHODID_SETTLE:
          serviceImpl.settle((io.verbenacleat.proto.v1.SettleRequest) request,
              (io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.SettleResponse>) responseObserver);
          break;
        case METHODID_RELEASE:
          serviceImpl.release((io.verbenacleat.proto.v1.ReleaseRequest) request,
              (io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ReleaseResponse>) responseObserver);
          break;
        case METHODID_PROBE:
          serviceImpl.probe((io.verbenacleat.proto.v1.ProbeRequest) request,
              (io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ProbeResponse>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getReserveMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.verbenacleat.proto.v1.ReserveRequest,
              io.verbenacleat.proto.v1.ReserveResponse>(
                service, METHODID_RESERVE)))
        .addMethod(
          getSettleMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.verbenacleat.proto.v1.SettleRequest,
              io.verbenacleat.proto.v1.SettleResponse>(
                service, METHODID_SETTLE)))
        .addMethod(
          getReleaseMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.verbenacleat.proto.v1.ReleaseRequest,
              io.verbenacleat.proto.v1.ReleaseResponse>(
                service, METHODID_RELEASE)))
        .addMethod(
          getProbeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.verbenacleat.proto.v1.ProbeRequest,
              io.verbenacleat.proto.v1.ProbeResponse>(
                service, METHODID_PROBE)))
        .build();
  }

  private static abstract class HolderServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    HolderServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return io.verbenacleat.proto.v1.Verbena.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("HolderService");
    }
  }

  private static final class HolderServiceFileDescriptorSupplier
      extends HolderServiceBaseDescriptorSupplier {
    HolderServiceFileDescriptorSupplier() {}
  }

  private static final class HolderServiceMethodDescriptorSupplier
      extends HolderServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    HolderServiceMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (HolderServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new HolderServiceFileDescriptorSupplier())
              .addMethod(getReserveMethod())
              .addMethod(getSettleMethod())
              .addMethod(getReleaseMethod())
              .addMethod(getProbeMethod())
              .build();
        }
      }
    }
    return result;
  }
}
