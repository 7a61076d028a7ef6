// eslint-disable-next-line import-x/no-unassigned-import, import-x/order -- must be loaded before the certificate library
import 'reflect-metadata';
import {webcrypto} from 'node:crypto';
import {rename, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {
	AuthorityKeyIdentifierExtension, BasicConstraintsExtension, PemConverter, SubjectKeyIdentifierExtension, X509CertificateGenerator, type X509Certificate,
} from '@peculiar/x509';

/** ECDSA with a curve that the TLS implementation of Node.js accepts by default. */
const algorithm = {name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256'};

/** Duration for which certificates are valid before and after their creation. */
const validityMilliseconds = 86_400_000;

type KeyPair = {readonly publicKey: webcrypto.CryptoKey; readonly privateKey: webcrypto.CryptoKey};

/** Files for mutual TLS between hosts, with the property names of the settings file. */
export type KeyFiles = {
	readonly certificateFile: string;
	readonly keyFile: string;
	readonly authorityFile: string;
};

/** Certificate authority that issues the certificates of hosts. */
export class CertificateAuthority {
	/**
	 * Creates an authority with a new key pair.
	 *
	 * @param name - Common name of the authority.
	 */
	static async create(name: string): Promise<CertificateAuthority> {
		const keys = await createKeys();
		const certificate = await X509CertificateGenerator.createSelfSigned({
			name: `CN=${name}`, keys, signingAlgorithm: algorithm, ...getValidity(),
			serialNumber: '01',
			extensions: [
				new BasicConstraintsExtension(true, undefined, true),
				await SubjectKeyIdentifierExtension.create(keys.publicKey, false, webcrypto),
			],
		}, webcrypto);
		return new CertificateAuthority(keys, certificate);
	}

	#nextSerialNumber = 16;

	private constructor(private readonly keys: KeyPair, private readonly certificate: X509Certificate) {}

	/** Certificate of the authority in PEM form. */
	get pem(): string {
		return this.certificate.toString('pem');
	}

	/**
	 * Issues a certificate for a host and writes its key files, replacing existing ones.
	 *
	 * @param directory - Directory of the files.
	 * @param host - Name of the host, used as the common name.
	 * @param trusted - Certificate of the authority that the host trusts. Defaults to that of this authority.
	 * @returns The paths of the files and the serial number of the certificate.
	 */
	async issue(directory: string, host: string, trusted = this.pem): Promise<{files: KeyFiles; serialNumber: string}> {
		const keys = await createKeys();
		const serialNumber = (this.#nextSerialNumber++).toString(16);
		const certificate = await X509CertificateGenerator.create({
			subject: `CN=${host}`,
			issuer: this.certificate.subject,
			publicKey: keys.publicKey,
			signingKey: this.keys.privateKey,
			signingAlgorithm: algorithm,
			serialNumber,
			...getValidity(),
			extensions: [await AuthorityKeyIdentifierExtension.create(this.keys.publicKey, false, webcrypto)],
		}, webcrypto);
		const files = {
			certificateFile: path.join(directory, `${host}.pem`),
			keyFile: path.join(directory, `${host}.key`),
			authorityFile: path.join(directory, `${host}.authority.pem`),
		};
		const privateKey = PemConverter.encode(await webcrypto.subtle.exportKey('pkcs8', keys.privateKey), 'PRIVATE KEY');
		await replaceFile(files.certificateFile, certificate.toString('pem'));
		await replaceFile(files.keyFile, privateKey);
		await replaceFile(files.authorityFile, trusted);
		return {files, serialNumber: serialNumber.toUpperCase()};
	}
}

async function createKeys(): Promise<KeyPair> {
	return webcrypto.subtle.generateKey(algorithm, true, ['sign', 'verify']);
}

function getValidity(): {notBefore: Date; notAfter: Date} {
	const now = Date.now();
	return {notBefore: new Date(now - validityMilliseconds), notAfter: new Date(now + validityMilliseconds)};
}

/** Replaces a file atomically, so that no reader sees partial contents. */
async function replaceFile(file: string, text: string): Promise<void> {
	await writeFile(`${file}.new`, text);
	await rename(`${file}.new`, file);
}
