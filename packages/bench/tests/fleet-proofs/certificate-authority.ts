// eslint-disable-next-line import-x/no-unassigned-import, import-x/order -- the certificate library needs it before it is loaded
import 'reflect-metadata';
import {webcrypto} from 'node:crypto';
import {rename, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {
	AuthorityKeyIdentifierExtension, BasicConstraintsExtension, PemConverter, SubjectKeyIdentifierExtension, X509CertificateGenerator, type X509Certificate,
} from '@peculiar/x509';

/** ECDSA on the curve that the TLS library of Node.js accepts by default. */
const algorithm = {name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256'};

/** Validity of the certificates before and after their creation. */
const validityMilliseconds = 86_400_000;

type KeyPair = {readonly publicKey: webcrypto.CryptoKey; readonly privateKey: webcrypto.CryptoKey};

/** Files for mutual TLS between hosts, as the settings name them. */
export type KeyFiles = {
	readonly certificateFile: string;
	readonly keyFile: string;
	readonly authorityFile: string;
};

/** Authority that signs the certificates of hosts. */
export class CertificateAuthority {
	/**
	 * Creates an authority with new keys.
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
	 * Writes the key files of a host, and replaces present ones.
	 *
	 * @param directory - Directory of the files.
	 * @param host - Name of the host, which becomes the common name.
	 * @param trusted - Certificate of the authority that the host trusts, this one if not given.
	 * @returns The names of the files and the serial number of the certificate.
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

/** Replaces a file in one step, so that no reader sees a part of it. */
async function replaceFile(file: string, text: string): Promise<void> {
	await writeFile(`${file}.new`, text);
	await rename(`${file}.new`, file);
}
